// libFuzzer: rule files. What is read must print and read again to the same.
#include <cstdlib>
#include <string>

#include "dead_letter/redrive_rules.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace sagetally::dead_letter;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    const RuleSet rules = ParseRules(text, {"aviso", "pedido"});
    const std::string printed = Print(rules);
    if (Print(ParseRules(printed, {"aviso", "pedido"})) != printed) std::abort();
    const KeptMessage message;
    FirstMatch(rules, message, sagetally::Time(7));
    NextChange(rules, message, sagetally::Time(7));
    for (const Rule& rule : rules.rules) ToSql(rule.when, sagetally::Time(7));
  } catch (const RuleError&) {
  }
  return 0;
}
