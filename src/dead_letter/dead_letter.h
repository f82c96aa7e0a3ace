// Defines DeadLetter, a message that completed without being delivered and was stored with its attempts, and
// converts it from and to the core's Message. Plain values and functions without state: no I/O, safe on any
// thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/message.h"

namespace sagetally::dead_letter {

// The state of a dead letter. The database stores the numbers, so they must not change.
enum class DeadLetterState : std::uint8_t {
  kStored = 0,      // rules may redrive it
  kHeld = 1,        // waits for an operator or, unless an operator held it, for a change of the rules
  kClaimed = 2,     // a redrive of it is in flight; there is never more than one
  kDelivered = 3,   // delivered by a redrive
  kDropped = 4,     // discarded by a rule, by an operator or because a redrive of it expired
  kResubmitted = 5  // its client submitted the same event or key again, as a separate message
};
inline constexpr int kDeadLetterStateCount = 6;

// Identifies a dead letter permanently: a node never assigns a number twice, even after its journal has
// dropped the message.
struct DeadLetterId {
  std::string node;
  std::uint64_t number = 0;
  auto operator<=>(const DeadLetterId&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

// Returns the id as NODE/NUMBER.
std::string ToString(const DeadLetterId& id);
// Parses NODE/NUMBER; returns nothing if `text` does not have that form.
std::optional<DeadLetterId> ParseDeadLetterId(std::string_view text);

// A stored message. All times are wall-clock times.
struct DeadLetter {
  DeadLetterId id;
  Request request;  // the body is empty unless the query asked for it
  std::string class_name;
  std::size_t body_size = 0;  // bytes
  Time accepted_at{0}, deadline{0}, ended_at{0};
  FinalStatus final_status = FinalStatus::kPending;
  FailureReason failure_reason = FailureReason::kNone;
  DeadLetterState state = DeadLetterState::kStored;
  int attempts = 0;  // total over all incarnations
  std::vector<AttemptRecord> history = {};
  std::optional<Timestamp> first_uncertain_attempt;  // send time of the earliest attempt that may have run
  std::string first_uncertain_endpoint = {};
  int redrives = 0;
  // Number of completed redrives. It tells the results of different redrives apart, so that each is recorded
  // only once.
  std::int32_t incarnation = 0;
  double priority_weight = 1;
  Time not_before{0};  // earliest time of the next redrive; set after one failed or could not be started
  bool requested_by_operator = false;
  std::string rule = {};             // name of the rule that decided last
  std::string decision_reason = {};  // one word that says why the message waits or is held

  // The outcome of the last attempt: kTimeout if the attempt was interrupted, kNotSent if there was none.
  Outcome LastOutcome() const;
  bool operator==(const DeadLetter&) const = default;
};

// Converts a completed message into the dead letter to be stored. A message that was itself a redrive keeps
// the id of its dead letter; any other message is identified by `node` and its own number.
DeadLetter FromMessage(const Message& message, const std::string& node, const std::string& class_name,
                       double priority_weight);

// Returns the message that redrives a dead letter, as its next incarnation. `deadline` is a wall-clock time.
Message ToMessage(const DeadLetter& dead_letter, Time deadline);

// Derives from a message's history why it was not delivered. `now` is a wall-clock time.
FailureReason DetermineFailureReason(const Message& message, const ClassSettings& settings, int max_attempts,
                                     Time now);

// Returns a hash that is the same for every submission of the same event or message by a client. An event is
// identified by its source and id, which together are its request id; any other message by its destination,
// class and idempotency key. Returns nothing for a message that is not an event and has no key.
std::optional<std::uint64_t> IdentityOf(const Request& request);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
