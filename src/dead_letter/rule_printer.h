// Writes rules and conditions in the rule language. What is printed reads again to an equal value.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_PRINTER_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_PRINTER_H_

#include <string>

#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

std::string Print(const Condition& condition);
std::string Print(const Rule& rule);
std::string Print(const RuleSet& rules);
// In the largest unit of which it is a whole number; to the millisecond.
std::string PrintDuration(Duration duration);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_PRINTER_H_
