// A kept message: what is known of one that ended undelivered, or is being sent again. Values only.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/message.h"

namespace sagetally::kept {

enum class State : std::uint8_t {
  kKept = 0,          // rules may send it again
  kHeld = 1,          // waits for an operator
  kClaimed = 2,       // one resend is under way
  kDelivered = 3,     // by a resend
  kDropped = 4,       // by a rule or an operator
  kHandedInAgain = 5  // its client handed the same event in anew, as a message of its own
};
inline constexpr int kStates = 6;

struct Id {  // unique for good
  std::string node;
  std::uint64_t number = 0;
  auto operator<=>(const Id&) const = default;
};
std::string Print(const Id& id);  // NODE/NUMBER
std::optional<Id> ParseId(std::string_view text);

struct KeptMessage {
  Id id;
  Request request;  // its body is empty unless asked for
  std::string class_name;
  std::size_t body_size = 0;
  Time taken_at{0}, deadline{0}, ended_at{0};
  End end = End::kNone;
  Reason reason = Reason::kNone;
  State state = State::kKept;
  int attempts = 0;  // in all its lives
  std::vector<AttemptNote> history = {};
  std::optional<Moment> may_have_run;  // the earliest attempt that may have run, as sent
  std::string may_have_run_at = {};
  int resends = 0;
  std::int32_t life = 0;  // counts its resends, so that a result is taken in once
  double worth = 1;
  Time not_before{0};     // after a failed resend
  bool by_hand = false;   // an operator asked for its resend
  std::string rule = {};  // that decided last, and why
  std::string ground = {};

  Outcome LastOutcome() const;  // kTimeout where the last attempt was cut off, kMoot where there was none
  bool operator==(const KeptMessage&) const = default;
};

// What becomes of a message that ended in the ledger.
KeptMessage FromMessage(const Message& message, const std::string& node, const std::string& class_name,
                        double worth);
// The core message of its next life; `deadline` by the wall clock.
Message ToMessage(const KeptMessage& kept, Time deadline);

std::string_view Name(Reason reason);
std::string_view Name(State state);
std::string_view Name(End end);  // "undeliverable", "deferred", ...
std::string_view Name(Outcome outcome);
std::optional<Reason> ReasonNamed(std::string_view name);
std::optional<State> StateNamed(std::string_view name);
std::optional<Outcome> OutcomeNamed(std::string_view name);
std::vector<std::string> ReasonNames();
std::vector<std::string> StateNames();
std::vector<std::string> OutcomeNames();

// Why a message ends undelivered, told from its history; `now` by the wall clock.
Reason ReasonOf(const Message& message, const ClassSettings& settings, int max_attempts, Time now);

// One message as JSON; bodies are given in base64 if asked for.
std::string ToJson(const KeptMessage& kept, bool with_body);
std::string HistoryToJson(const std::vector<AttemptNote>& history);
// What can't be read is nothing.
std::vector<AttemptNote> HistoryFromJson(const std::string& text);

}  // namespace sagetally::kept

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_H_
