// A kept message: what is known of one that ended undelivered, or is being sent again. Values only.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/message.h"

namespace sagetally::dead_letter {

enum class DeadLetterState : std::uint8_t {
  kStored = 0,      // rules may send it again
  kHeld = 1,        // waits for an operator
  kClaimed = 2,     // one resend is under way
  kDelivered = 3,   // by a resend
  kDropped = 4,     // by a rule or an operator
  kResubmitted = 5  // its client handed the same event in anew, as a message of its own
};
inline constexpr int kStates = 6;

struct DeadLetterId {  // unique for good
  std::string node;
  std::uint64_t number = 0;
  auto operator<=>(const DeadLetterId&) const = default;
};
std::string Print(const DeadLetterId& id);  // NODE/NUMBER
std::optional<DeadLetterId> ParseId(std::string_view text);

struct DeadLetter {
  DeadLetterId id;
  Request request;  // its body is empty unless asked for
  std::string class_name;
  std::size_t body_size = 0;
  Time accepted_at{0}, deadline{0}, ended_at{0};
  FinalStatus final_status = FinalStatus::kPending;
  FailureReason failure_reason = FailureReason::kNone;
  DeadLetterState state = DeadLetterState::kStored;
  int attempts = 0;  // in all its lives
  std::vector<AttemptRecord> history = {};
  std::optional<Timestamp> first_uncertain_attempt;  // the earliest attempt that may have run, as sent
  std::string first_uncertain_endpoint = {};
  int redrives = 0;
  std::int32_t incarnation = 0;  // counts its resends, so that a result is taken in once
  double priority_weight = 1;
  Time not_before{0};                  // after a failed resend
  bool requested_by_operator = false;  // an operator asked for its resend
  std::string rule = {};               // that decided last, and why
  std::string decision_reason = {};

  Outcome LastOutcome() const;  // kTimeout where the last attempt was cut off, kMoot where there was none
  bool operator==(const DeadLetter&) const = default;
};

// What becomes of a message that ended in the ledger.
DeadLetter FromMessage(const Message& message, const std::string& node, const std::string& class_name,
                       double worth);
// The core message of its next life; `deadline` by the wall clock.
Message ToMessage(const DeadLetter& kept, Time deadline);

std::string_view Name(FailureReason reason);
std::string_view Name(DeadLetterState state);
std::string_view Name(FinalStatus end);  // "undeliverable", "deferred", ...
std::string_view Name(Outcome outcome);
std::optional<FailureReason> ReasonNamed(std::string_view name);
std::optional<DeadLetterState> StateNamed(std::string_view name);
std::optional<Outcome> OutcomeNamed(std::string_view name);
std::vector<std::string> ReasonNames();
std::vector<std::string> StateNames();
std::vector<std::string> OutcomeNames();

// Why a message ends undelivered, told from its history; `now` by the wall clock.
FailureReason ReasonOf(const Message& message, const ClassSettings& settings, int max_attempts, Time now);

// One message as JSON; bodies are given in base64 if asked for.
std::string ToJson(const DeadLetter& kept, bool with_body);
std::string HistoryToJson(const std::vector<AttemptRecord>& history);
// What can't be read is nothing.
std::vector<AttemptRecord> HistoryFromJson(const std::string& text);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
