// The redrive policy decides whether a dead letter may be redriven at all without the risk that it takes
// effect twice. Neither a rule nor an operator can override it. Functions without state or I/O, safe on any
// thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_

#include <optional>
#include <string_view>

#include "dead_letter/dead_letter.h"
#include "time/clock.h"

namespace sagetally::dead_letter {

// Whether a dead letter may be redriven now, possibly later, or no longer.
enum class RedriveDecision : std::uint8_t { kAllowed, kRetryLater, kForbidden };

// Why the policy does not allow a redrive.
enum class DecisionReason : std::uint8_t {
  kNone,
  kCompleted,                   // delivered, dropped, or resubmitted by its client
  kInFlight,                    // a redrive of it has not completed yet
  kClassUnknown,                // its class is no longer configured
  kAttemptsExhausted,           // all incarnations together have made the maximum number of attempts
  kMayHaveTakenEffect,          // it may have run, and its class is not idempotent
  kNoKey,                       // it may have run and has no key by which a duplicate is recognized
  kDeduplicationWindowExpired,  // it may have run, and too little of the window is left for a whole call
  kClockUncertain,              // it may have run, and the rest of the window can't be determined
  kClientMayRetry               // its client was told that a retry is harmless
};
inline constexpr int kDecisionReasonCount = 10;

// Returns the word for a reason in the store and in operators' output.
std::string_view Name(DecisionReason reason);

// A decision of the policy with its reason.
struct RedriveDecisionResult {
  RedriveDecision decision = RedriveDecision::kAllowed;
  DecisionReason reason = DecisionReason::kNone;
  // The wall-clock time by which the whole call, including its timeout, must have completed. If empty, there
  // is no such limit.
  std::optional<Time> latest_send_time = {};
  bool operator==(const RedriveDecisionResult&) const = default;
};

// The part at the end of the deduplication window that is not used, and the least part of it that a call
// needs.
inline constexpr Duration kWindowMargin = std::chrono::milliseconds(100);
inline constexpr Duration kMinCallTime = std::chrono::milliseconds(200);

// Returns the time since `then`, or nothing if the clocks can't tell because the machine was restarted or its
// steady clock is behind `then`.
std::optional<Duration> Elapsed(const Timestamp& then, const Timestamp& now);

struct RedrivePolicySettings {
  int max_attempts = 1;  // of one message, over all its incarnations
  // True if clients never retry a deferred message, so that it may be redriven.
  bool redrive_deferred = false;
};

// Decides whether a dead letter may be redriven at `now`. `class_settings` are those of the message's class,
// or null if that class is not configured.
RedriveDecisionResult DecideRedrive(const DeadLetter& dead_letter, const ClassSettings* class_settings,
                                    const RedrivePolicySettings& policy, const Timestamp& now);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_
