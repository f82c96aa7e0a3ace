// The words for states, reasons and outcomes in the rule language, in JSON and in operators' output. They are
// stored and in use, so they keep their form whatever the code calls these things.
#ifndef SAGETALLY_SRC_DEAD_LETTER_WIRE_NAMES_H_
#define SAGETALLY_SRC_DEAD_LETTER_WIRE_NAMES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dead_letter/dead_letter.h"

namespace sagetally::dead_letter {

// A number that is none of the enumeration's, as a later version may store it, is "none", "held" or
// "timeout".
std::string_view Name(FailureReason reason);
std::string_view Name(DeadLetterState state);
std::string_view Name(Outcome outcome);
// "undeliverable", "deferred", ...
std::string_view Name(FinalStatus status);

// Nothing if the word is unknown.
std::optional<FailureReason> ParseFailureReason(std::string_view name);
std::optional<DeadLetterState> ParseDeadLetterState(std::string_view name);
std::optional<Outcome> ParseOutcome(std::string_view name);
// kFailed or kRejected, the two with which a dead letter can end.
std::optional<FinalStatus> ParseFinalStatus(std::string_view name);

std::vector<std::string> FailureReasonNames();
std::vector<std::string> DeadLetterStateNames();
std::vector<std::string> OutcomeNames();
std::vector<std::string> FinalStatusNames();

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_WIRE_NAMES_H_
