// The resend judge: whether a kept message may be sent again at all. No rule and no operator overrides it.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_

#include <optional>
#include <string_view>

#include "dead_letter/dead_letter.h"
#include "time/clock.h"

namespace sagetally::kept {

enum class Ruling : std::uint8_t { kAllowed, kNotYet, kForbidden };
enum class Ground : std::uint8_t {
  kNone,
  kOver,                 // delivered, dropped, or handed in again by its client
  kUnderWay,             // not yet: a resend of it is out
  kClassUnknown,         // the configuration no longer has its class
  kAttemptsUsedUp,       // of all its lives together
  kMayHaveRun,           // and a repeat takes effect twice
  kNoKey,                // may have run, and nothing lets the destination tell a repeat
  kRepeatWindowOver,     // or too little of it is left for a whole call
  kClockUnsure,          // how much of the window is left can't be known
  kClientMayHandInAgain  // its client was told that handing it in again is harmless
};
inline constexpr int kGrounds = 10;

struct Judgement {
  Ruling ruling = Ruling::kAllowed;
  Ground ground = Ground::kNone;
  // The whole call, time-out included, must have ended by then (wall clock); none: no such limit.
  std::optional<Time> latest = {};
  bool operator==(const Judgement&) const = default;
};

// So much of the window is left unused, and a call needs so much of it at the least.
inline constexpr Duration kWindowMargin = std::chrono::milliseconds(100);
inline constexpr Duration kLeastCall = std::chrono::milliseconds(200);

// Time since `then`; none if the clocks can't tell: the machine started anew or its clock was set back.
std::optional<Duration> Elapsed(const Moment& then, const Moment& now);

struct JudgeSettings {
  int max_attempts = 1;          // of one message in all its lives
  bool resend_deferred = false;  // clients do not hand in again what they were told is deferred
};

// `settings`: of the message's class; null if there is none of that name.
Judgement Judge(const KeptMessage& kept, const ClassSettings* settings, const JudgeSettings& judge,
                const Moment& now);

std::string_view Name(Ground ground);

}  // namespace sagetally::kept

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_POLICY_H_
