// The rules of the fault shim: which calls fail, and how.
#ifndef SAGETALLY_TESTS_FAULT_SHIM_FAULT_RULES_H_
#define SAGETALLY_TESTS_FAULT_SHIM_FAULT_RULES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally::fault_shim {

enum class Effect { kError, kShort, kDelay };

struct Rule {
  std::string call;
  Effect effect = Effect::kError;
  int error_number = 0;  // kError only
  double chance = 0;     // 0 to 1
};

struct RuleSet {
  std::vector<Rule> rules;
  double after_seconds = 0;
  double until_seconds = 1e9;
  double clock_step_seconds = 0;
  double clock_step_at_seconds = 0;
  std::uint64_t seed = 1;
};

// Parses a specification (see fault_shim.h). Empty if it can't be read.
std::optional<RuleSet> ParseRules(std::string_view specification);

}  // namespace sagetally::fault_shim

#endif  // SAGETALLY_TESTS_FAULT_SHIM_FAULT_RULES_H_
