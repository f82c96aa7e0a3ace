// libFuzzer harness for the parser of redrive rule files. Rules that parse must print as text that parses and
// prints to the same text again, and must be evaluated and translated to SQL without a crash.
#include <cstdlib>
#include <string>

#include "dead_letter/rule_evaluation.h"
#include "dead_letter/rule_parser.h"
#include "dead_letter/rule_printer.h"
#include "dead_letter/storage/filter_sql.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace sagetally::dead_letter;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    const RuleSet rules = ParseRules(text, {"aviso", "pedido"});
    const std::string printed = Print(rules);
    if (Print(ParseRules(printed, {"aviso", "pedido"})) != printed) std::abort();
    const DeadLetter dead_letter;
    FirstMatch(rules, dead_letter, sagetally::Time(7));
    NextChange(rules, dead_letter, sagetally::Time(7));
    for (const Rule& rule : rules.rules) ToSql(rule.condition, sagetally::Time(7));
  } catch (const RuleError&) {
  }
  return 0;
}
