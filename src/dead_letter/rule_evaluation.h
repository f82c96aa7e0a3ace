// Applies conditions and rules to a dead letter. `now` is always a wall-clock time. Functions without state,
// safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_EVALUATION_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_EVALUATION_H_

#include <optional>

#include "dead_letter/dead_letter.h"
#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

// Whether a dead letter meets a condition. Every comparison with an absent attribute is false.
// storage/filter_sql.h finds the same messages in the store.
bool Matches(const Condition& condition, const DeadLetter& dead_letter, Time now);
// Returns the first rule that matches, or null.
const Rule* FirstMatch(const RuleSet& rules, const DeadLetter& dead_letter, Time now);
// Returns the first time after `now` at which the message's age alone may change which rule matches first, or
// nothing if there is no such time.
std::optional<Time> NextChange(const RuleSet& rules, const DeadLetter& dead_letter, Time now);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_EVALUATION_H_
