// How many calls may go to a rate-limit scope: its pace (additive increase, multiplicative decrease).
#ifndef SAGETALLY_SRC_POLICY_RATE_LIMITING_H_
#define SAGETALLY_SRC_POLICY_RATE_LIMITING_H_

#include "policy/policy_state.h"

namespace sagetally::policy {

constexpr double kDecreaseFactor = 0.5;        // of the pace before
constexpr double kMinEvenShareFraction = 0.8;  // a pace is at least this part of an even share
constexpr double kMinAssumedRate = 2.0;        // calls a second, where no rate is advertised
// A success adds a fraction of the pace by the time since the last; doubling balances at half rejected.
constexpr double kMinIncrease = 0.03, kIncreasePerSecond = 0.1, kMaxIncrease = 0.25;
constexpr double kBurstSeconds = 0.3;       // capacity of the token bucket, in seconds of its rate
constexpr double kHardFailureWeight = 0.5;  // of no answer or no connection, in the failure score

// Of all dispatchers. Where none is advertised: as if all were answered as often as this one.
inline double TotalRate(const PolicyState& state, const RateLimitScope& scope) {
  if (scope.advertised_rate > 0) return scope.advertised_rate;
  const double own = std::max(scope.answered.At(state.now), scope.recovering_since ? scope.usual_rate : 0.0);
  return std::max(kMinAssumedRate, own * state.settings.dispatcher_count);
}

// Half with each further decrease: a limit that goes on rejecting is lower, or used up by rejected calls.
inline double EvenShare(const PolicyState& state, const RateLimitScope& scope) {
  const double decreased = std::pow(kDecreaseFactor, std::max(0, scope.decreases - 1));
  const double factor = std::max(state.settings.cold_capacity_fraction, decreased);
  return TotalRate(state, scope) / state.settings.dispatcher_count * factor;
}

inline bool PaceAllows(PolicyState& state, RateLimitScope& scope) {
  state.WakeBy(scope.retry_after_until);
  if (scope.retry_after_until > state.now) return false;
  if (scope.pace <= 0) return true;
  const double burst = std::max(1.0, scope.pace * std::max(kBurstSeconds, ToSeconds(state.timer_delay)));
  const Duration wait = scope.bucket.Refill(state.now, scope.pace, burst);
  state.WakeBy(state.now + wait);
  return wait == Duration(0);
}

// Once for a burst, by the calls sent after the last decrease. The first starts from the dispatchers' root.
inline void DecreasePace(PolicyState& state, RateLimitScope& scope, Time sent_at) {
  if (sent_at <= scope.last_decrease_at) return;
  scope.last_decrease_at = state.now;
  const double unlimited = 2 * TotalRate(state, scope) / std::sqrt(state.settings.dispatcher_count);
  const double recent = scope.recent_calls.Rate(state.settings.overload_duration);
  const double previous = std::min(recent, scope.pace > 0 ? scope.pace : unlimited);
  scope.pace = std::max(kDecreaseFactor * previous, kMinEvenShareFraction * EvenShare(state, scope));
  // The next call at random in twice the mean gap: dispatchers rejected together must not return together.
  scope.bucket = {1 - state.random.Uniform(0, 2), state.now};
  scope.last_increase_at = state.now;
}

inline void IncreasePace(PolicyState& state, RateLimitScope& scope) {
  if (scope.pace <= 0) return;
  const double elapsed = ToSeconds(state.now - scope.last_increase_at);
  const double fraction = std::clamp(kIncreasePerSecond * elapsed, kMinIncrease, kMaxIncrease);
  scope.last_increase_at = state.now;
  const double share = kMinEvenShareFraction * EvenShare(state, scope);
  scope.pace = std::max(scope.pace, std::min(2 * scope.pace, share));
  const double least = kMinIncrease * scope.advertised_rate / state.settings.dispatcher_count;
  scope.pace += std::max(least, fraction * scope.pace);
  if (scope.advertised_rate > 0) scope.pace = std::min(scope.pace, scope.advertised_rate);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RATE_LIMITING_H_
