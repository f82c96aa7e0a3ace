// The rules of the fault shim, which say which system calls fail and how, and their parser.
#ifndef SAGETALLY_TESTS_FAULT_SHIM_FAULT_RULES_H_
#define SAGETALLY_TESTS_FAULT_SHIM_FAULT_RULES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally::fault_shim {

// What happens to a call that a rule applies to.
enum class Effect {
  kError,  // fails with Rule::error_number
  kShort,  // reads or writes one byte only
  kDelay   // is delayed
};

// One rule of a specification.
struct Rule {
  std::string call;  // the name of the call in the specification, such as "writev"
  Effect effect = Effect::kError;
  int error_number = 0;    // errno; for kError only
  double probability = 0;  // the fraction of calls that the rule applies to, 0 to 1
};

// A whole specification. Times are counted from when the rules were set.
struct RuleSet {
  std::vector<Rule> rules;
  double after_seconds = 0;          // the rules do not apply before this time
  double until_seconds = 1e9;        // the rules do not apply after this time
  double clock_step_seconds = 0;     // by how much the wall clock is moved
  double clock_step_at_seconds = 0;  // when the wall clock is moved
  std::uint64_t seed = 1;
};

// Parses a specification (see fault_shim.h). Returns nothing if it is malformed.
std::optional<RuleSet> ParseRules(std::string_view specification);

}  // namespace sagetally::fault_shim

#endif  // SAGETALLY_TESTS_FAULT_SHIM_FAULT_RULES_H_
