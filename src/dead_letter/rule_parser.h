// Parses the rule language. Functions without state, safe on any thread.
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

// Parse a rule file and a filter and check their types. `classes` are the configured class names; if it is
// empty, any word is accepted as a class. Both throw RuleError.
RuleSet ParseRules(std::string_view text, const std::vector<std::string>& classes);
Condition ParseCondition(std::string_view text, const std::vector<std::string>& classes);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_PARSER_H_
