// The words for states, reasons and outcomes in the rule language, in JSON and in operators' output. Stored
// data and operators' scripts use them, so they must not change, even where the code has other names for the
// same things. Functions without state, safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_WIRE_NAMES_H_
#define SAGETALLY_SRC_DEAD_LETTER_WIRE_NAMES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dead_letter/dead_letter.h"

namespace sagetally::dead_letter {

// Return the word for a value. A number outside the enumeration, which a later version may have stored, gives
// "none" for reasons and final statuses, "held" for states and "timeout" for outcomes.
std::string_view Name(FailureReason reason);
std::string_view Name(DeadLetterState state);
std::string_view Name(Outcome outcome);
// Final statuses are called "undeliverable", "deferred" and so on.
std::string_view Name(FinalStatus status);

// Return nothing if the word is unknown.
std::optional<FailureReason> ParseFailureReason(std::string_view name);
std::optional<DeadLetterState> ParseDeadLetterState(std::string_view name);
std::optional<Outcome> ParseOutcome(std::string_view name);
// Returns only kFailed or kRejected, the two final statuses that a dead letter can have.
std::optional<FinalStatus> ParseFinalStatus(std::string_view name);

// All words that the rule language accepts for the field.
std::vector<std::string> FailureReasonNames();
std::vector<std::string> DeadLetterStateNames();
std::vector<std::string> OutcomeNames();
std::vector<std::string> FinalStatusNames();

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_WIRE_NAMES_H_
