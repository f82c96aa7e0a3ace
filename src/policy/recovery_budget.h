// The recovery budget limits how many calls a dispatcher sends to a rate-limit scope from its first failure
// there until the scope has warmed up again, because the calls of all dispatchers together would overload it.
// The policy calls StartRecovery on a failure, GrantArrivalPermit when a message arrives,
// RecoveryBudgetAllows before a call and SpendRecoveryPermit when it sends one.
//
// A dispatcher knows nothing of the others, so each one takes a part of its own traffic. These parts add up
// to the same part of the whole, however many dispatchers there are and however unevenly messages reach them.
// Each message that arrives brings a permit for one call with a certain probability (arrival permits).
// Permits also come at a part of an even share of the rate (share permits), so that waiting messages get
// their turn where few arrive. There is one permit at most at a time, and it expires soon: permits that many
// dispatchers saved up during an outage would all be used at its end.
#ifndef SAGETALLY_SRC_POLICY_RECOVERY_BUDGET_H_
#define SAGETALLY_SRC_POLICY_RECOVERY_BUDGET_H_

#include "policy/rate_limiting.h"

namespace sagetally::policy {

// Fraction of the budget that is used. The rest leaves room for chance.
constexpr double kRecoveryBudgetFraction = 0.85;
// The budget is divided between the two sorts of permits. A message that arrives brings a permit with at most
// this probability times RecoveryFraction.
constexpr double kArrivalPermitFraction = 0.55;
// Share permits come at this fraction of an even share of the rate, times RecoveryFraction.
constexpr double kSharePermitFraction = 0.55;
// Messages bring permits only up to this multiple of the usual rate of answered calls, plus kMinUsualRate.
constexpr double kUsualRateMargin = 1.2;
// Calls a second that are added to that.
constexpr double kMinUsualRate = 0.2;
// While calls have only been rejected, the budget is at least this fraction of the full capacity, because
// rejections alone mostly come from a rate limit, which the pace obeys. The first rejection brings no permit
// at once; its message waits for the next one.
constexpr double kOnlyRejectedFraction = 0.8;
// In place of kSharePermitFraction while calls have only been rejected.
constexpr double kOnlyRejectedSharePermitFraction = 0.8;
// As kOnlyRejectedFraction, after failures that led to no ejection: a single failure may have been that of a
// connection.
constexpr double kUnconfirmedFraction = 0.45;
// If the budget of a destination that is still cold is fewer calls than this in overload_duration, all of it
// is used, because the room for chance is large beside so few calls.
constexpr double kFewCalls = 30;
// An approximate advertised rate may be too high by this factor.
constexpr double kMaxRateError = 1.5;
// A scope that gave answers before and after a shorter time had no outage in between.
constexpr Duration kShortestOutage = seconds(3);
// One more call confirms a failure. After a failed connection, or a rejection by a full connection table, the
// call may go after a random time with this mean.
constexpr Duration kConfirmDelay = milliseconds(150);
// After any other failure the confirming call may go after a random time with this mean.
constexpr Duration kRecheckDelay = seconds(1);
constexpr Duration kPermitLifetime = milliseconds(500);
// A share permit that came longer ago than this when the policy runs has expired and is not granted.
constexpr Duration kMaxSharePermitAge = milliseconds(100);

// The fraction of a destination's full capacity that all dispatchers together may use now.
inline double RecoveryFraction(const PolicyState& state, const RateLimitScope& scope) {
  const Settings& settings = state.settings;
  const double cold_capacity = settings.cold_capacity_fraction;
  const double capacity = RampedFraction(cold_capacity, scope.recovered_at, state.now, settings.warm_up_time);
  const double budget = capacity * settings.overload_multiple;
  const double cold_calls = TotalRate(state, scope) * cold_capacity * settings.overload_multiple *
                            ToSeconds(settings.overload_duration);
  const double used_fraction = cold_calls < kFewCalls ? 1.0 : kRecoveryBudgetFraction;
  if (scope.ejected) return used_fraction * budget;
  return used_fraction * std::max(budget, scope.only_rejected ? kOnlyRejectedFraction : kUnconfirmedFraction);
}

inline void GrantPermit(const PolicyState& state, RecoveryPermits& permits) {
  permits.permit_expires_at = state.now + kPermitLifetime;
}

// How many share permits a second this dispatcher gets.
inline double SharePermitRate(const PolicyState& state, const RateLimitScope& scope) {
  const bool may_be_too_high =
      scope.advertised_rate > 0 && state.settings.advertised_rates == AdvertisedRates::kApproximate;
  const double total = TotalRate(state, scope) / (may_be_too_high ? kMaxRateError : 1.0);
  const double even_share = total / state.settings.dispatcher_count;
  const double permit_fraction =
      scope.only_rejected ? kOnlyRejectedSharePermitFraction : kSharePermitFraction;
  return permit_fraction * RecoveryFraction(state, scope) * even_share;
}

// Counts a message that has arrived and, while the scope recovers, grants a permit for it by chance. The
// message may go to `scope_count` scopes, and the function is called for each of them.
inline void GrantArrivalPermit(PolicyState& state, RateLimitScope& scope, std::int64_t scope_count) {
  scope.arrival_rate.Add(state.now);
  if (!scope.recovering_since) return;
  // Where more messages arrive than were answered before, because clients retry or there is an overload, they
  // bring no more permits.
  const double usual = scope.usual_rate * kUsualRateMargin + kMinUsualRate;
  const double usual_fraction = std::min(1.0, usual / scope.arrival_rate.At(state.now));
  const double probability = kArrivalPermitFraction * RecoveryFraction(state, scope) * usual_fraction /
                             static_cast<double>(scope_count);
  if (state.random.Uniform(0, 1) < probability) GrantPermit(state, scope.permits);
}

// Holds the scope of the endpoint to the recovery budget after a call that was sent at `sent_at` failed or
// was rejected there. With `needs_confirmation`, one more call goes to any endpoint of the scope soon and
// shows whether that was a failure at all.
inline void StartRecovery(PolicyState& state, Endpoint& endpoint, Time sent_at,
                          bool needs_confirmation = false) {
  RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovering_since) {
    scope.recovering_since = state.now;
    scope.usual_rate = scope.answered_rate.At(state.now);
    scope.recovered_at = scope.peer_recovered_at > sent_at ? scope.peer_recovered_at : std::nullopt;
    scope.only_rejected = true;
    scope.permits = {};
    scope.permits.share_progress = state.random.Uniform(0, 1);
    scope.permits.share_updated_at = state.now;
    // One call at once to another endpoint of the scope shows whether the failure is that of this endpoint
    // alone. Without such a call, the random start of the share permits lets some of many dispatchers try
    // early.
    const bool has_sibling = std::ranges::any_of(endpoint.destination->endpoints, [&](const Endpoint* other) {
      const bool is_sibling = other != &endpoint && other->scope == &scope;
      return is_sibling && other->accepts_calls && !other->HasFailed(state.now);
    });
    if (has_sibling && scope.rejections == 0) return GrantPermit(state, scope.permits);
    // One call at once also shows whether a scope that gave an answer a moment ago has failed at all.
    const bool was_answered_recently =
        scope.last_answered_at && state.now - *scope.last_answered_at < kShortestOutage / 2;
    if (was_answered_recently && !needs_confirmation && scope.rejections == 0) {
      GrantPermit(state, scope.permits);
    }
  }
  // A dispatcher that never got an answer from the scope has no reason to doubt the failure.
  const bool is_first_failure = scope.recovering_since == state.now && scope.rejections == 0;
  if (!scope.last_answered_at || !(needs_confirmation || is_first_failure)) return;
  scope.permits.confirm_at =
      state.now + state.random.Jitter(needs_confirmation ? kConfirmDelay : kRecheckDelay, 1.0);
}

// Ends the recovery of the endpoint's scope: no endpoint of it is ejected or held to the budget any more.
inline void EndRecovery(PolicyState& state, const Endpoint& endpoint) {
  endpoint.scope->ejected = false;
  endpoint.scope->recovering_since.reset();
  for (Endpoint* sibling : endpoint.destination->endpoints) {
    if (sibling->scope != endpoint.scope) continue;
    if (sibling->ejected) state.Emit(WriteLogLine{"recovered: " + sibling->id});
    sibling->ejected = false;
    sibling->exempt_from_budget = false;
  }
}

// Ends the recovery if the scope has warmed up, or if an answer has shown that there was no outage.
inline void EndRecoveryIfOver(PolicyState& state, const Endpoint& endpoint) {
  const RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovered_at) return;
  const Time warm_at = *scope.recovered_at + state.settings.warm_up_time;
  const bool is_healthy = endpoint.failure_score.At(state.now) < kHardFailureWeight;
  const bool had_no_outage = !scope.ejected && scope.was_no_outage && is_healthy;
  if (had_no_outage || state.now > warm_at) EndRecovery(state, endpoint);
}

// Grants the share permit if one is due. Share permits come at regular intervals from a random moment on. A
// permit that comes while no message waits is lost, because this is called only for waiting messages.
inline void TakeSharePermit(PolicyState& state, RateLimitScope& scope) {
  RecoveryPermits& permits = scope.permits;
  const double rate = SharePermitRate(state, scope);
  permits.share_progress += rate * ToSeconds(state.now - permits.share_updated_at);
  permits.share_updated_at = state.now;
  if (permits.share_progress >= 1) {
    const double age_seconds = (permits.share_progress - 1) / rate;
    if (age_seconds <= ToSeconds(kMaxSharePermitAge)) GrantPermit(state, permits);
    permits.share_progress = std::fmod(permits.share_progress, 1.0);
  }
  state.WakeBy(state.now + FromSeconds((1 - permits.share_progress) / rate) + milliseconds(1));
}

// Grants the permit for the call that confirms a failure, if it is due.
inline void TakeConfirmingPermit(PolicyState& state, RecoveryPermits& permits) {
  if (permits.confirm_at == Time::max()) return;
  state.WakeBy(permits.confirm_at);
  if (permits.confirm_at > state.now) return;
  permits.confirm_at = Time::max();
  GrantPermit(state, permits);
}

// Whether the recovery budget allows a call to the endpoint now. If not, arranges for the policy to run when
// it may.
inline bool RecoveryBudgetAllows(PolicyState& state, const Endpoint& endpoint) {
  RateLimitScope& scope = *endpoint.scope;
  if (!scope.recovering_since) return true;
  EndRecoveryIfOver(state, endpoint);
  if (!scope.recovering_since || endpoint.exempt_from_budget) return true;
  TakeSharePermit(state, scope);
  TakeConfirmingPermit(state, scope.permits);
  return scope.permits.permit_expires_at > state.now;
}

// Uses up the permit for a call that is sent to the endpoint.
inline void SpendRecoveryPermit(const Endpoint& endpoint) {
  if (!endpoint.exempt_from_budget) endpoint.scope->permits.permit_expires_at = Time(0);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RECOVERY_BUDGET_H_
