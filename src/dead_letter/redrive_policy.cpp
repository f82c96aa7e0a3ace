#include "dead_letter/redrive_policy.h"

#include <algorithm>
#include <array>

namespace sagetally::dead_letter {
namespace {

// In the order of DecisionReason. The words are stored and part of operators' output, so they must not
// change.
constexpr std::array<std::string_view, kDecisionReasonCount> kReasonNames = {
    "none",         "over",   "under_way",          "class_unknown", "attempts_used_up",
    "may_have_run", "no_key", "repeat_window_over", "clock_unsure",  "client_may_hand_in_again"};

RedriveDecisionResult Forbidden(DecisionReason reason) { return {RedriveDecision::kForbidden, reason, {}}; }

bool IsCompleted(DeadLetterState state) {
  return state == DeadLetterState::kDelivered || state == DeadLetterState::kDropped ||
         state == DeadLetterState::kResubmitted;
}

// Decides about a message that may have run, and whose class relies on the idempotency key to recognize a
// duplicate.
RedriveDecisionResult DecideWithinWindow(const DeadLetter& dead_letter, Duration deduplication_window,
                                         const Timestamp& now) {
  if (dead_letter.request.idempotency_key.empty()) return Forbidden(DecisionReason::kNoKey);
  const std::optional<Duration> elapsed = Elapsed(*dead_letter.first_uncertain_attempt, now);
  if (!elapsed) return Forbidden(DecisionReason::kClockUncertain);
  const Duration window_left = deduplication_window - *elapsed - kWindowMargin;
  if (window_left < kMinCallTime) return Forbidden(DecisionReason::kDeduplicationWindowExpired);
  return {RedriveDecision::kAllowed, DecisionReason::kNone, now.wall_time + window_left};
}

}  // namespace

std::optional<Duration> Elapsed(const Timestamp& then, const Timestamp& now) {
  // Without a steady clock that covers both times, it is unknown whether the wall clock was set in between.
  const bool is_same_boot = then.boot_id != 0 && then.boot_id == now.boot_id;
  if (!is_same_boot || now.steady_time < then.steady_time) return std::nullopt;
  return std::max(now.steady_time - then.steady_time, now.wall_time - then.wall_time);
}

RedriveDecisionResult DecideRedrive(const DeadLetter& dead_letter, const ClassSettings* class_settings,
                                    const RedrivePolicySettings& policy, const Timestamp& now) {
  if (IsCompleted(dead_letter.state)) return Forbidden(DecisionReason::kCompleted);
  if (dead_letter.state == DeadLetterState::kClaimed) {
    return {RedriveDecision::kRetryLater, DecisionReason::kInFlight, {}};
  }
  if (class_settings == nullptr) return Forbidden(DecisionReason::kClassUnknown);
  const Idempotency idempotency = class_settings->idempotency;
  const bool may_have_run = dead_letter.first_uncertain_attempt.has_value();
  const bool was_deferred = dead_letter.final_status == FinalStatus::kRejected;
  if (idempotency != Idempotency::kIdempotent && was_deferred && !policy.redrive_deferred) {
    return Forbidden(DecisionReason::kClientMayRetry);
  }
  if (idempotency == Idempotency::kNotIdempotent && may_have_run) {
    return Forbidden(DecisionReason::kMayHaveTakenEffect);
  }
  if (dead_letter.attempts >= policy.max_attempts) return Forbidden(DecisionReason::kAttemptsExhausted);
  if (!may_have_run || idempotency == Idempotency::kIdempotent) return {};
  return DecideWithinWindow(dead_letter, class_settings->deduplication_window, now);
}

std::string_view Name(DecisionReason reason) { return kReasonNames[static_cast<std::size_t>(reason)]; }

}  // namespace sagetally::dead_letter
