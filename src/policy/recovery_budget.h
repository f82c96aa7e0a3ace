// The recovery budget: how many calls a dispatcher sends to a rate-limit scope from its first failure there
// until it has warmed up again, as the calls of all dispatchers together would overload it. Nothing is known
// of the other dispatchers, so each takes a part of its own traffic, and these parts add up to the same part
// of the whole, however many dispatchers there are and however unevenly messages reach them:
// each message that arrives brings a permit for one call with a probability (arrival permits), and permits
// also come at a part of an even share of the rate (share permits), so that messages that wait get their turn
// where few arrive. At most one permit is held, and it expires soon: what many dispatchers saved up during an
// outage would go out at its end.
#ifndef SAGETALLY_SRC_POLICY_RECOVERY_BUDGET_H_
#define SAGETALLY_SRC_POLICY_RECOVERY_BUDGET_H_

#include "policy/rate_limiting.h"

namespace sagetally::policy {

constexpr double kRecoveryBudgetFraction = 0.85;  // is used, the rest is for chance
// How the budget is divided: of the messages that arrive, and of an even share of the rate.
constexpr double kArrivalPermitFraction = 0.55, kSharePermitFraction = 0.55;
constexpr double kUsualRateMargin = 1.2, kMinUsualRate = 0.2;  // calls a second
// Rejections alone mostly come from a limit, which the pace obeys. The first of them waits for its turn.
constexpr double kOnlyRejectedFraction = 0.8, kOnlyRejectedSharePermitFraction = 0.8;
constexpr double kUnconfirmedFraction = 0.45;  // a single failure may have been a connection's
// Of so few calls in overload_duration the whole budget is used: the room for chance is large beside them.
constexpr double kFewCalls = 30;
constexpr double kMaxRateError = 1.5;  // of an approximate rate
// What was answered before and after a shorter time has not been out meanwhile.
constexpr Duration kShortestOutage = seconds(3);
// A failure is confirmed by one more call, on the average so long after a failed connection, or another
// failure.
constexpr Duration kConfirmDelay = milliseconds(150), kRecheckDelay = seconds(1);
constexpr Duration kPermitLifetime = milliseconds(500);
constexpr Duration kMaxTimerDelay = milliseconds(100);  // a permit that came longer ago has expired

// The part of a destination's full capacity that all dispatchers together may use, as a fraction.
inline double RecoveryFraction(const PolicyState& state, const RateLimitScope& scope) {
  const Settings& settings = state.settings;
  const double cold = settings.cold_capacity_fraction;
  const double capacity = RampedFraction(cold, scope.recovered_at, state.now, settings.warm_up_time);
  const double budget = capacity * settings.overload_multiple;
  const double cold_calls =
      TotalRate(state, scope) * cold * settings.overload_multiple * ToSeconds(settings.overload_duration);
  const double used = cold_calls < kFewCalls ? 1.0 : kRecoveryBudgetFraction;
  if (scope.ejected) return used * budget;
  return used * std::max(budget, scope.only_rejected ? kOnlyRejectedFraction : kUnconfirmedFraction);
}

inline void GrantPermit(const PolicyState& state, RecoveryPermits& permits) {
  permits.permit_expires_at = state.now + kPermitLifetime;
}

// Share permits a second.
inline double SharePermitRate(const PolicyState& state, const RateLimitScope& scope) {
  const bool may_be_too_high =
      scope.advertised_rate > 0 && state.settings.advertised_rates == AdvertisedRates::kApproximate;
  const double total = TotalRate(state, scope) / (may_be_too_high ? kMaxRateError : 1.0);
  const double even_share = total / state.settings.dispatcher_count;
  const double part = scope.only_rejected ? kOnlyRejectedSharePermitFraction : kSharePermitFraction;
  return part * RecoveryFraction(state, scope) * even_share;
}

// A message has arrived for a destination. `scope_count`: of the scopes that it may go to.
inline void GrantArrivalPermit(PolicyState& state, RateLimitScope& scope, std::int64_t scope_count) {
  scope.arrivals.Add(state.now);
  if (!scope.recovering_since) return;
  // More messages than were answered before (clients that retry, overload) bring no more permits.
  const double usual = scope.usual_rate * kUsualRateMargin + kMinUsualRate;
  const double usual_fraction = std::min(1.0, usual / scope.arrivals.At(state.now));
  const double expected = kArrivalPermitFraction * RecoveryFraction(state, scope) * usual_fraction /
                          static_cast<double>(scope_count);
  if (state.random.Uniform(0, 1) < expected) GrantPermit(state, scope.permits);
}

// Holds the scope to the budget. `sent_at`: of the call that failed. `confirm`: one more call shortly, to any
// endpoint, shows whether it was a failure at all.
inline void StartRecovery(PolicyState& state, Endpoint& endpoint, Time sent_at, bool confirm = false) {
  RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovering_since) {
    scope.recovering_since = state.now;
    scope.usual_rate = scope.answered.At(state.now);
    scope.recovered_at = scope.peer_recovered_at > sent_at ? scope.peer_recovered_at : std::nullopt;
    scope.only_rejected = true;
    scope.permits = {};
    scope.permits.share_progress = state.random.Uniform(0, 1);
    scope.permits.share_updated_at = state.now;
    // One call at once to a sibling shows whose failure it is. Else some of many dispatchers try early.
    const bool has_sibling = std::ranges::any_of(endpoint.destination->endpoints, [&](const Endpoint* other) {
      const bool is_sibling = other != &endpoint && other->scope == &scope;
      return is_sibling && other->accepts_calls && !other->HasFailed(state.now);
    });
    if (has_sibling && scope.rejections == 0) return GrantPermit(state, scope.permits);
    // The same shows whether what was answered a moment ago has failed at all.
    const bool was_answered_recently =
        scope.last_answered_at && state.now - *scope.last_answered_at < kShortestOutage / 2;
    if (was_answered_recently && !confirm && scope.rejections == 0) GrantPermit(state, scope.permits);
  }
  // A dispatcher that was never answered there has no reason to doubt the failure.
  const bool is_first_failure = scope.recovering_since == state.now && scope.rejections == 0;
  if (!scope.last_answered_at || !(confirm || is_first_failure)) return;
  scope.permits.confirm_at = state.now + state.random.Jitter(confirm ? kConfirmDelay : kRecheckDelay, 1.0);
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

inline void EndRecoveryIfOver(PolicyState& state, const Endpoint& endpoint) {
  const RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovered_at) return;
  const Time warm_at = *scope.recovered_at + state.settings.warm_up_time;
  const bool is_sound = endpoint.failure_score.At(state.now) < kHardFailureWeight;
  const bool has_ended = !scope.ejected && scope.was_no_outage && is_sound;
  if (has_ended || state.now > warm_at) EndRecovery(state, endpoint);
}

// Share permits come at an even pace from a random moment on, and only to a message that waits as they come.
inline void TakeSharePermit(PolicyState& state, RateLimitScope& scope) {
  RecoveryPermits& permits = scope.permits;
  const double rate = SharePermitRate(state, scope);
  permits.share_progress += rate * ToSeconds(state.now - permits.share_updated_at);
  permits.share_updated_at = state.now;
  if (permits.share_progress >= 1) {
    const double seconds_ago = (permits.share_progress - 1) / rate;
    if (seconds_ago <= ToSeconds(kMaxTimerDelay)) GrantPermit(state, permits);
    permits.share_progress = std::fmod(permits.share_progress, 1.0);
  }
  state.WakeBy(state.now + FromSeconds((1 - permits.share_progress) / rate) + milliseconds(1));
}

inline void TakeConfirmingPermit(PolicyState& state, RecoveryPermits& permits) {
  if (permits.confirm_at == Time::max()) return;
  state.WakeBy(permits.confirm_at);
  if (permits.confirm_at > state.now) return;
  permits.confirm_at = Time::max();
  GrantPermit(state, permits);
}

inline bool RecoveryBudgetAllows(PolicyState& state, const Endpoint& endpoint) {
  RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovering_since) return true;
  EndRecoveryIfOver(state, endpoint);
  if (!scope.recovering_since || endpoint.exempted) return true;
  TakeSharePermit(state, scope);
  TakeConfirmingPermit(state, scope.permits);
  return scope.permits.permit_expires_at > state.now;
}

// A call goes out.
inline void SpendRecoveryPermit(const Endpoint& endpoint) {
  if (!endpoint.exempted) endpoint.scope->permits.permit_expires_at = Time(0);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RECOVERY_BUDGET_H_
