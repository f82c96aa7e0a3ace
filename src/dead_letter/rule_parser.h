// Reads the rule language.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_PARSER_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "dead_letter/redrive_rules.h"
#include "dead_letter/rule_error.h"

namespace sagetally::dead_letter {

inline constexpr std::size_t kMaxRuleTextBytes = 256 * 1024;
inline constexpr std::size_t kMaxNestingDepth = 100;  // of parentheses

// Both throw RuleError. `classes`: the configured names; empty: any word is a class.
RuleSet ParseRules(std::string_view text, const std::vector<std::string>& classes);
Condition ParseCondition(std::string_view text, const std::vector<std::string>& classes);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_PARSER_H_
