// Applies conditions and rules to a dead letter. `now` is by the wall clock throughout.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_EVALUATION_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_EVALUATION_H_

#include <optional>

#include "dead_letter/dead_letter.h"
#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

// Every comparison with an absent attribute is false. storage/filter_sql.h finds the same messages in the
// store.
bool Matches(const Condition& condition, const DeadLetter& dead_letter, Time now);
// The first rule that matches, or null.
const Rule* FirstMatch(const RuleSet& rules, const DeadLetter& dead_letter, Time now);
// When, after `now`, the message's age alone may change which rule matches first; none: never.
std::optional<Time> NextChange(const RuleSet& rules, const DeadLetter& dead_letter, Time now);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_EVALUATION_H_
