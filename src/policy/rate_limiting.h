// How many calls may go to a rate-limit scope: its pace (additive increase, multiplicative decrease) and,
// from its first failure until it has answered, the recovery budget, as full load would push it over again.
#ifndef SAGETALLY_SRC_POLICY_RATE_LIMITING_H_
#define SAGETALLY_SRC_POLICY_RATE_LIMITING_H_

#include "policy/policy_state.h"

namespace sagetally::policy {

constexpr double kDecreaseFactor = 0.5;        // of the pace before
constexpr double kMinEvenShareFraction = 0.8;  // a pace is at least this part of an even share
constexpr double kMinAssumedRate = 2.0;        // calls a second, where no rate is advertised
// A success adds a fraction of the pace by the time since the last; doubling balances at half rejected.
constexpr double kMinIncrease = 0.03, kIncreasePerSecond = 0.1, kMaxIncrease = 0.25;
constexpr double kBurstSeconds = 0.3;             // capacity of the token bucket, in seconds of its rate
constexpr double kHardFailureWeight = 0.5;        // of no answer or no connection, in the failure score
constexpr double kRecoveryBudgetFraction = 0.85;  // is used, the rest is for chance
constexpr double kUnobservedFraction = 0.8;  // of the calls of a dispatcher that has not seen the failure

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

// `confirm`: one more call shortly, to any endpoint, shows whether it was a failure at all.
inline void StartRecovery(PolicyState& state, Endpoint& endpoint, bool confirm = false) {
  RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovering_since) {
    scope.recovering_since = state.now;
    scope.usual_rate = scope.answered.At(state.now);
    scope.recovered_at.reset();
    // One call at once to a sibling shows whose failure it is. Else some of many dispatchers try early.
    const bool has_sibling = std::ranges::any_of(endpoint.destination->endpoints, [&](const Endpoint* other) {
      const bool is_sibling = other != &endpoint && other->scope == &scope;
      return is_sibling && other->accepts_calls && !other->HasFailed(state.now);
    });
    const bool ask_sibling = has_sibling && scope.rejections == 0;
    scope.recovery_budget = {ask_sibling ? 1.0 : state.random.Uniform(0, 1), state.now};
    if (ask_sibling) return;
  }
  if (!confirm) return;
  const Duration delay = std::max<Duration>(endpoint.destination->MeanLatency(), kMinOverdue / 2);
  scope.recovery_budget = {1, state.now + state.random.Jitter(delay, 1.0)};
}

inline void EndRecovery(PolicyState& state, const Endpoint& endpoint) {
  endpoint.scope->ejected = false;
  endpoint.scope->recovering_since.reset();
  for (Endpoint* sibling : endpoint.destination->endpoints) {
    if (sibling->scope != endpoint.scope) continue;
    if (sibling->ejected) state.Emit(WriteLogLine{"recovered: " + sibling->id});
    sibling->ejected = false;
    sibling->exempted = false;
  }
}

inline double RecoveryRate(const PolicyState& state, const RateLimitScope& scope, int waiting_count) {
  const double cold = state.settings.cold_capacity_fraction;
  const double capacity = RampedFraction(cold, scope.recovered_at, state.now, state.settings.warm_up_time);
  // Its share of all, a second: usual answered calls, and one message of all that came since the failure.
  const Duration observed = state.now - *scope.recovering_since + state.settings.overload_duration;
  double share = scope.usual_rate + 1 / std::max(0.1, ToSeconds(observed));
  share = std::max(share, EvenShare(state, scope));
  if (scope.advertised_rate > 0) share = std::min(share, scope.advertised_rate);
  // While no second message waits few may have seen the failure, and the calls of the others outweigh theirs.
  const double unobserved = kUnobservedFraction * std::exp(1.0 - std::max(1, waiting_count));
  return kRecoveryBudgetFraction * std::max(capacity * state.settings.overload_multiple, unobserved) * share;
}

inline bool RecoveryBudgetAllows(PolicyState& state, const Endpoint& endpoint) {
  RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovering_since) return true;
  const Time warm_at = scope.recovered_at.value_or(state.now) + state.settings.warm_up_time;
  const bool is_sound = endpoint.failure_score.At(state.now) < kHardFailureWeight;
  if (scope.recovered_at && (scope.ejected ? state.now > warm_at : is_sound)) EndRecovery(state, endpoint);
  if (!scope.recovering_since || endpoint.exempted) return true;
  const double rate = RecoveryRate(state, scope, endpoint.destination->waiting_count);
  const Duration wait = scope.recovery_budget.Refill(state.now, rate, 1.0);
  state.WakeBy(state.now + wait);
  return wait == Duration(0);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RATE_LIMITING_H_
