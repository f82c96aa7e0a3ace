// A dead letter: a message that ended undelivered and was stored, with all that is known of it. Plain values,
// and their conversion from and to the messages of the core. No I/O.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/message.h"

namespace sagetally::dead_letter {

// The numbers are stored.
enum class DeadLetterState : std::uint8_t {
  kStored = 0,      // rules may redrive it
  kHeld = 1,        // waits for an operator
  kClaimed = 2,     // one redrive of it is in flight
  kDelivered = 3,   // by a redrive
  kDropped = 4,     // by a rule or an operator
  kResubmitted = 5  // its client submitted the same event again, as a message of its own
};
inline constexpr int kDeadLetterStateCount = 6;

// Unique for good: numbers are never given out twice, also after the journal has forgotten the message.
struct DeadLetterId {
  std::string node;
  std::uint64_t number = 0;
  auto operator<=>(const DeadLetterId&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

// NODE/NUMBER
std::string ToString(const DeadLetterId& id);
// Nothing if `text` is not of that form.
std::optional<DeadLetterId> ParseDeadLetterId(std::string_view text);

struct DeadLetter {
  DeadLetterId id;
  Request request;  // its body is empty unless it was asked for
  std::string class_name;
  std::size_t body_size = 0;
  Time accepted_at{0}, deadline{0}, ended_at{0};
  FinalStatus final_status = FinalStatus::kPending;
  FailureReason failure_reason = FailureReason::kNone;
  DeadLetterState state = DeadLetterState::kStored;
  int attempts = 0;  // of all incarnations together
  std::vector<AttemptRecord> history = {};
  std::optional<Timestamp> first_uncertain_attempt;  // send time of the earliest attempt that may have run
  std::string first_uncertain_endpoint = {};
  int redrives = 0;
  // Counts the redrives that ended, so that the result of each is recorded once.
  std::int32_t incarnation = 0;
  double priority_weight = 1;
  Time not_before{0};  // no redrive before; set after one that failed
  bool requested_by_operator = false;
  std::string rule = {};             // that decided last
  std::string decision_reason = {};  // why the message waits or is held, in one word

  // kTimeout where the last attempt was cut off, kNotSent where there was none.
  Outcome LastOutcome() const;
  bool operator==(const DeadLetter&) const = default;
};

// What is to be stored of a message that has ended. A message that was itself a redrive keeps the id of its
// dead letter; any other gets `node` and its number.
DeadLetter FromMessage(const Message& message, const std::string& node, const std::string& class_name,
                       double priority_weight);

// The message that redrives a dead letter, as its next incarnation; `deadline` by the wall clock.
Message ToMessage(const DeadLetter& dead_letter, Time deadline);

// Why a message ended undelivered, as far as its history tells; `now` by the wall clock.
FailureReason DetermineFailureReason(const Message& message, const ClassSettings& settings, int max_attempts,
                                     Time now);

// Identifies what a client submits, over all its submissions: an event by source and id, any other message by
// its idempotency key within class and destination. Nothing if the request has neither.
std::optional<std::uint64_t> IdentityOf(const Request& request);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
