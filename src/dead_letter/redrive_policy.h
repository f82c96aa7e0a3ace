// The resend judge: whether a kept message may be sent again at all. No rule and no operator overrides it.
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
  kExpired,                     // delivered, dropped, or handed in again by its client
  kUnderWay,                    // not yet: a resend of it is out
  kClassUnknown,                // the configuration no longer has its class
  kAttemptsExhausted,           // of all its lives together
  kMayHaveTakenEffect,          // and a repeat takes effect twice
  kNoKey,                       // may have run, and nothing lets the destination tell a repeat
  kDeduplicationWindowExpired,  // or too little of it is left for a whole call
  kClockUncertain,              // how much of the window is left can't be known
  kClientMayRetry               // its client was told that handing it in again is harmless
};
inline constexpr int kGrounds = 10;

struct RedriveDecisionResult {
  RedriveDecision decision = RedriveDecision::kAllowed;
  DecisionReason reason = DecisionReason::kNone;
  // The whole call, time-out included, must have ended by then (wall clock); none: no such limit.
  std::optional<Time> latest_send_time = {};
  bool operator==(const RedriveDecisionResult&) const = default;
};

// So much of the window is left unused, and a call needs so much of it at the least.
inline constexpr Duration kWindowMargin = std::chrono::milliseconds(100);
inline constexpr Duration kMinCallTime = std::chrono::milliseconds(200);

// Time since `then`; none if the clocks can't tell: the machine started anew or its clock was set back.
std::optional<Duration> Elapsed(const Timestamp& then, const Timestamp& now);

struct RedrivePolicySettings {
  int max_attempts = 1;           // of one message in all its lives
  bool redrive_deferred = false;  // clients do not hand in again what they were told is deferred
};

// `settings`: of the message's class; null if there is none of that name.
RedriveDecisionResult DecideRedrive(const DeadLetter& kept, const ClassSettings* settings,
                                    const RedrivePolicySettings& judge, const Timestamp& now);

std::string_view Name(DecisionReason ground);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_
