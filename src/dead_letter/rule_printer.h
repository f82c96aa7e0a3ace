// Prints rules and conditions in the rule language. Parsing the printed text gives an equal value. Functions
// without state, safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_PRINTER_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_PRINTER_H_

#include <string>

#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

std::string Print(const Condition& condition);
std::string Print(const Rule& rule);
std::string Print(const RuleSet& rules);
// Prints a duration in the largest unit of which it is a whole multiple; precise to the millisecond.
std::string PrintDuration(Duration duration);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_PRINTER_H_
