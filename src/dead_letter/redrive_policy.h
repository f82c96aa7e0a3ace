// The redrive policy: whether a dead letter may be redriven at all, without risk that it takes effect twice.
// Neither a rule nor an operator overrides it. No state, no I/O.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_

#include <optional>
#include <string_view>

#include "dead_letter/dead_letter.h"
#include "time/clock.h"

namespace sagetally::dead_letter {

enum class RedriveDecision : std::uint8_t { kAllowed, kRetryLater, kForbidden };

enum class DecisionReason : std::uint8_t {
  kNone,
  kCompleted,                   // delivered, dropped, or resubmitted by its client
  kInFlight,                    // a redrive of it has not ended yet
  kClassUnknown,                // the configuration no longer has its class
  kAttemptsExhausted,           // of all its incarnations together
  kMayHaveTakenEffect,          // and a repeat would take effect a second time
  kNoKey,                       // may have run, and the destination can't recognize a repeat
  kDeduplicationWindowExpired,  // or too little of it is left for a whole call
  kClockUncertain,              // how much of the window is left can't be known
  kClientMayRetry               // its client was answered that a retry is harmless
};
inline constexpr int kDecisionReasonCount = 10;

// The word that the store and operators' output have for it.
std::string_view Name(DecisionReason reason);

struct RedriveDecisionResult {
  RedriveDecision decision = RedriveDecision::kAllowed;
  DecisionReason reason = DecisionReason::kNone;
  // By the wall clock: when the whole call, its timeout included, must have ended. None: no such limit.
  std::optional<Time> latest_send_time = {};
  bool operator==(const RedriveDecisionResult&) const = default;
};

// How much of the deduplication window is left unused, and how much of it a call needs at the least.
inline constexpr Duration kWindowMargin = std::chrono::milliseconds(100);
inline constexpr Duration kMinCallTime = std::chrono::milliseconds(200);

// Time since `then`. None if the clocks can't tell: the machine was restarted, or its clock was set back.
std::optional<Duration> Elapsed(const Timestamp& then, const Timestamp& now);

struct RedrivePolicySettings {
  int max_attempts = 1;           // of one message, over all its incarnations
  bool redrive_deferred = false;  // clients never retry a message that was deferred
};

// `class_settings`: of the message's class; null if there is none of that name.
RedriveDecisionResult DecideRedrive(const DeadLetter& dead_letter, const ClassSettings* class_settings,
                                    const RedrivePolicySettings& policy, const Timestamp& now);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_
