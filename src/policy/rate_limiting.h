// The pace at which this dispatcher sends calls to a rate-limit scope. It is learned from rejections and
// successes, by additive increase and multiplicative decrease. Used by the other headers of src/policy.
#ifndef SAGETALLY_SRC_POLICY_RATE_LIMITING_H_
#define SAGETALLY_SRC_POLICY_RATE_LIMITING_H_

#include "policy/policy_state.h"

namespace sagetally::policy {

// A decrease multiplies the pace by this.
constexpr double kDecreaseFactor = 0.5;
// A pace is at least this fraction of an even share (see EvenShare).
constexpr double kMinEvenShareFraction = 0.8;
// Calls a second for all dispatchers together that a scope is assumed to take at least where no rate is
// advertised.
constexpr double kMinAssumedRate = 2.0;
// Each success adds a fraction of the pace, which is kIncreasePerSecond for each second since the last
// change, but between kMinIncrease and kMaxIncrease. If a success doubled the pace, the balance with the
// decreases would lie where half of the calls are rejected.
constexpr double kMinIncrease = 0.03;
constexpr double kIncreasePerSecond = 0.1;
constexpr double kMaxIncrease = 0.25;
// Capacity of the token bucket, in seconds of its rate.
constexpr double kBurstSeconds = 0.3;
// How far a call without an answer or a connection moves the failure score to 1, as a fraction of the
// distance.
constexpr double kHardFailureWeight = 0.5;

// Calls a second that the scope takes from all dispatchers together. Where no rate is advertised, it is
// estimated as if all dispatchers were answered as often as this one.
inline double TotalRate(const PolicyState& state, const RateLimitScope& scope) {
  if (scope.advertised_rate > 0) return scope.advertised_rate;
  const double own_rate =
      std::max(scope.answered_rate.At(state.now), scope.recovering_since ? scope.usual_rate : 0.0);
  return std::max(kMinAssumedRate, own_rate * state.settings.dispatcher_count);
}

// This dispatcher's even share of the total rate, in calls a second. Each decrease in a row after the first
// halves it, down to cold_capacity_fraction of it: a limit that goes on rejecting is lower than the total
// rate says, or is used up by the rejected calls.
inline double EvenShare(const PolicyState& state, const RateLimitScope& scope) {
  const double decreased = std::pow(kDecreaseFactor, std::max(0, scope.decreases - 1));
  const double factor = std::max(state.settings.cold_capacity_fraction, decreased);
  return TotalRate(state, scope) / state.settings.dispatcher_count * factor;
}

// Whether a call may go to the scope now, by its pace and by the pause that a rejection asked for. If not,
// arranges for the policy to run when it may.
inline bool PaceAllows(PolicyState& state, RateLimitScope& scope) {
  state.WakeBy(scope.retry_after_until);
  if (scope.retry_after_until > state.now) return false;
  if (scope.pace <= 0) return true;
  const double burst = std::max(1.0, scope.pace * std::max(kBurstSeconds, ToSeconds(state.timer_delay)));
  const Duration wait = scope.bucket.Refill(state.now, scope.pace, burst);
  state.WakeBy(state.now + wait);
  return wait == Duration(0);
}

// Decreases the pace after a call that was sent at `sent_at` and failed or was rejected. The calls of one
// burst decrease it once, because only calls that were sent after the last decrease count. It starts from the
// recent rate of calls or from the pace, whichever is lower. In place of a pace the first decrease takes
// twice the total rate divided by the square root of the number of dispatchers.
inline void DecreasePace(PolicyState& state, RateLimitScope& scope, Time sent_at) {
  if (sent_at <= scope.last_decrease_at) return;
  scope.last_decrease_at = state.now;
  const double first_pace = 2 * TotalRate(state, scope) / std::sqrt(state.settings.dispatcher_count);
  const double recent = scope.recent_calls.Rate(state.settings.overload_duration);
  const double previous = std::min(recent, scope.pace > 0 ? scope.pace : first_pace);
  scope.pace = std::max(kDecreaseFactor * previous, kMinEvenShareFraction * EvenShare(state, scope));
  // The next call goes at a random time within twice the mean gap between calls, so that dispatchers that
  // were rejected together do not return together.
  scope.bucket = {1 - state.random.Uniform(0, 2), state.now};
  scope.last_increase_at = state.now;
}

// Increases the pace after a success. Has no effect on a scope that is not limited.
inline void IncreasePace(PolicyState& state, RateLimitScope& scope) {
  if (scope.pace <= 0) return;
  const double elapsed = ToSeconds(state.now - scope.last_increase_at);
  const double fraction = std::clamp(kIncreasePerSecond * elapsed, kMinIncrease, kMaxIncrease);
  scope.last_increase_at = state.now;
  const double min_pace = kMinEvenShareFraction * EvenShare(state, scope);
  scope.pace = std::max(scope.pace, std::min(2 * scope.pace, min_pace));
  const double min_increase = kMinIncrease * scope.advertised_rate / state.settings.dispatcher_count;
  scope.pace += std::max(min_increase, fraction * scope.pace);
  if (scope.advertised_rate > 0) scope.pace = std::min(scope.pace, scope.advertised_rate);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RATE_LIMITING_H_
