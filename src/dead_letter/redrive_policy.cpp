#include "dead_letter/redrive_policy.h"

#include <algorithm>
#include <array>

namespace sagetally::dead_letter {

std::optional<Duration> Elapsed(const Timestamp& then, const Timestamp& now) {
  // Without one count of the machine's own for both, the wall clock may have been set in between.
  if (then.boot_id == 0 || then.boot_id != now.boot_id || now.steady_time < then.steady_time)
    return std::nullopt;
  return std::max(now.steady_time - then.steady_time, now.wall_time - then.wall_time);
}

RedriveDecisionResult DecideRedrive(const DeadLetter& k, const ClassSettings* c,
                                    const RedrivePolicySettings& settings, const Timestamp& now) {
  const auto forbidden = [](DecisionReason ground) {
    return RedriveDecisionResult{RedriveDecision::kForbidden, ground, {}};
  };
  switch (k.state) {
    case DeadLetterState::kDelivered:
    case DeadLetterState::kDropped:
    case DeadLetterState::kResubmitted:
      return forbidden(DecisionReason::kExpired);
    case DeadLetterState::kClaimed:
      return {RedriveDecision::kRetryLater, DecisionReason::kUnderWay, {}};
    case DeadLetterState::kStored:
    case DeadLetterState::kHeld:
      break;
  }
  if (c == nullptr) return forbidden(DecisionReason::kClassUnknown);
  if (c->idempotency != Idempotency::kIdempotent) {
    if (k.final_status == FinalStatus::kRejected && !settings.redrive_deferred)
      return forbidden(DecisionReason::kClientMayRetry);
    if (k.first_uncertain_attempt && c->idempotency == Idempotency::kNotIdempotent)
      return forbidden(DecisionReason::kMayHaveTakenEffect);
  }
  if (k.attempts >= settings.max_attempts) return forbidden(DecisionReason::kAttemptsExhausted);
  if (!k.first_uncertain_attempt || c->idempotency == Idempotency::kIdempotent) return {};
  if (k.request.idempotency_key.empty()) return forbidden(DecisionReason::kNoKey);
  const std::optional<Duration> elapsed = Elapsed(*k.first_uncertain_attempt, now);
  if (!elapsed) return forbidden(DecisionReason::kClockUncertain);
  const Duration left = c->deduplication_window - *elapsed - kWindowMargin;
  if (left < kMinCallTime) return forbidden(DecisionReason::kDeduplicationWindowExpired);
  return {RedriveDecision::kAllowed, DecisionReason::kNone, now.wall_time + left};
}

std::string_view Name(DecisionReason ground) {
  static constexpr std::array<std::string_view, kGrounds> kNames = {
      "none",         "over",   "under_way",          "class_unknown", "attempts_used_up",
      "may_have_run", "no_key", "repeat_window_over", "clock_unsure",  "client_may_hand_in_again"};
  return kNames[static_cast<std::size_t>(ground)];
}

}  // namespace sagetally::dead_letter
