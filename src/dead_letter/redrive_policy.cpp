#include "dead_letter/redrive_policy.h"

#include <algorithm>
#include <array>

namespace sagetally::kept {

std::optional<Duration> Elapsed(const Moment& then, const Moment& now) {
  // Without one count of the machine's own for both, the wall clock may have been set in between.
  if (then.boot == 0 || then.boot != now.boot || now.steady < then.steady) return std::nullopt;
  return std::max(now.steady - then.steady, now.wall - then.wall);
}

Judgement Judge(const KeptMessage& k, const ClassSettings* c, const JudgeSettings& settings,
                const Moment& now) {
  const auto forbidden = [](Ground ground) { return Judgement{Ruling::kForbidden, ground, {}}; };
  switch (k.state) {
    case State::kDelivered:
    case State::kDropped:
    case State::kHandedInAgain:
      return forbidden(Ground::kOver);
    case State::kClaimed:
      return {Ruling::kNotYet, Ground::kUnderWay, {}};
    case State::kKept:
    case State::kHeld:
      break;
  }
  if (c == nullptr) return forbidden(Ground::kClassUnknown);
  if (c->effect != Effect::kSafe) {
    if (k.end == End::kRefused && !settings.resend_deferred) return forbidden(Ground::kClientMayHandInAgain);
    if (k.may_have_run && c->effect == Effect::kUnsafe) return forbidden(Ground::kMayHaveRun);
  }
  if (k.attempts >= settings.max_attempts) return forbidden(Ground::kAttemptsUsedUp);
  if (!k.may_have_run || c->effect == Effect::kSafe) return {};
  if (k.request.key.empty()) return forbidden(Ground::kNoKey);
  const std::optional<Duration> elapsed = Elapsed(*k.may_have_run, now);
  if (!elapsed) return forbidden(Ground::kClockUnsure);
  const Duration left = c->repeat_window - *elapsed - kWindowMargin;
  if (left < kLeastCall) return forbidden(Ground::kRepeatWindowOver);
  return {Ruling::kAllowed, Ground::kNone, now.wall + left};
}

std::string_view Name(Ground ground) {
  static constexpr std::array<std::string_view, kGrounds> kNames = {
      "none",         "over",   "under_way",          "class_unknown", "attempts_used_up",
      "may_have_run", "no_key", "repeat_window_over", "clock_unsure",  "client_may_hand_in_again"};
  return kNames[static_cast<std::size_t>(ground)];
}

}  // namespace sagetally::kept
