// What the outcomes of calls say: how long idle connections last (they may be dropped unseen, or fill up an
// endpoint's connection table), and which endpoints are ejected until half-open attempts succeed (outliers).
#ifndef SAGETALLY_SRC_POLICY_ENDPOINT_HEALTH_H_
#define SAGETALLY_SRC_POLICY_ENDPOINT_HEALTH_H_

#include "policy/recovery_budget.h"
#include "policy/recovery_gossip.h"

namespace sagetally::policy {

constexpr Duration kFreshIdleAge = milliseconds(200);  // a younger idle connection is sound
// Idleness is blamed once idle connections fail four times as often as those in use, over a hundred calls.
constexpr double kIdleFailureRatio = 4, kAssumedCalls = 40;  // as if so many in use had failed once
constexpr double kKeepAliveDecrease = 0.25, kKeepAliveIncrease = 1.05;  // one in thirty fails in a full table
constexpr double kMinIdleConnections = 4;                               // of all dispatchers at one endpoint
constexpr double kTableFullLatencyFraction = 0.65;  // of that of a usual rejection, or of an answer
// The failure score moves to 1 by these weights on a failure (and kHardFailureWeight), to 0 on a success.
constexpr double kSoftFailureWeight = 0.25;  // an error answer, a reset: single ones are everyday
constexpr double kSuccessWeight = 0.3;       // three or four successes clear a suspect
constexpr double kRecoveredWeight = 0.6;     // two of an endpoint that was ejected
constexpr double kEjectionThreshold = 0.7;   // two hard failures in a row, not two with a success between
constexpr int kShutRejections = 3;           // in a row, for as long as an outage matters
constexpr Duration kHalfOpenInterval = seconds(1);  // the end of an outage must not go unseen for long
constexpr double kSuspectCallFraction = 0.2, kAllSuspectsCallFraction = 0.4;  // of the concurrent calls

inline bool HasConnection(const PolicyState& state, Endpoint& endpoint) {
  const Duration timeout = state.settings.connection_idle_timeout;
  std::erase_if(endpoint.idle_since, [&](Time since) { return since + timeout <= state.now; });
  const int streams = state.settings.max_streams_per_connection;
  return !endpoint.idle_since.empty() || (streams > 1 && endpoint.InFlight() % streams != 0);
}

// Returns the idle age of the connection taken, 0 for a new one.
inline Duration TakeConnection(const PolicyState& state, Endpoint& endpoint) {
  if (!HasConnection(state, endpoint) || endpoint.idle_since.empty()) return Duration(0);
  const Duration age = state.now - endpoint.idle_since.back();
  endpoint.idle_since.pop_back();
  return age;
}

// At first as long as leaves an endpoint, of all dispatchers, no more of them than calls in service or a few.
inline Duration KeepAliveTime(const PolicyState& state, const Endpoint& endpoint) {
  const Duration timeout = state.settings.connection_idle_timeout;
  const auto sharing = std::ranges::count_if(endpoint.destination->endpoints, [&](const Endpoint* other) {
    return other->accepts_calls && other->scope == endpoint.scope;
  });
  const double call_rate = TotalRate(state, *endpoint.scope) / std::max<double>(1, sharing);
  const double in_service = call_rate * ToSeconds(endpoint.destination->MeanLatency());
  const double connections = std::max(kMinIdleConnections, in_service);
  const double idle_seconds = IdleSecondsFor(connections, state.settings.dispatcher_count, call_rate);
  const double bounded = std::min(ToSeconds(timeout), idle_seconds);
  return std::min(timeout, FromSeconds(state.keep_alive[endpoint.kind] * bounded));
}

inline void CloseExpiredConnections(PolicyState& state) {
  std::erase_if(state.idle_endpoints, [&](const auto& entry) {
    Endpoint& endpoint = *entry.second;
    if (endpoint.idle_since.empty()) return true;
    const Duration keep_time = std::min(state.idle_limit.At(state.now), KeepAliveTime(state, endpoint));
    if (keep_time >= state.settings.connection_idle_timeout) return false;
    state.WakeBy(endpoint.idle_since.front() + keep_time);
    if (endpoint.idle_since.front() + keep_time > state.now) return false;
    endpoint.idle_since.clear();
    state.Emit(CloseIdleConnections{endpoint.id});
    return true;
  });
}

// Returns true if the call failed because its connection had been idle: weak evidence of an outage.
inline bool RecordIdleAge(PolicyState& state, const Call& call, const AttemptCompleted& event) {
  Endpoint& endpoint = *call.endpoint;
  const bool failed = MayStillRun(event.outcome) && !(event.outcome == Outcome::kTimeout && call.at_deadline);
  const bool was_idle = call.idle_age >= kFreshIdleAge;
  if (failed || event.outcome == Outcome::kOk) (was_idle ? state.idle_calls : state.active_calls).Add(failed);
  const bool is_blamed = state.idle_calls.FailsMore(kIdleFailureRatio, state.active_calls, kAssumedCalls);
  // Connections that fall silent at any age are no reason to give up idle ones.
  if (failed && !was_idle && !is_blamed) state.idle_limit.Reset();
  const Duration limit = state.idle_limit.At(state.now);
  if (failed && was_idle && is_blamed && !endpoint.HasFailed(state.now)) {
    // Perhaps dropped unseen. Unless the next call answers at a usual pace it was an outage: undone below.
    if (!endpoint.idle_limit_before) endpoint.idle_limit_before = std::min<Duration>(limit, seconds(3600));
    state.idle_limit.Set(std::min(limit, call.idle_age / 2), state.now);
    endpoint.failure_score.MoveToward(1, kSoftFailureWeight, state.now);
    endpoint.failure_may_have_run = true;
    return true;
  }
  const double usual = std::min(endpoint.destination->latency.Mean(), state.global_latency.Mean());
  const bool is_slow = static_cast<double>(event.latency.count()) > 2 * usual;
  if (endpoint.idle_limit_before && (event.outcome != Outcome::kOk || is_slow)) {
    state.idle_limit.Set(std::max(*endpoint.idle_limit_before, limit), state.now);
  }
  endpoint.idle_limit_before.reset();
  return false;
}

inline bool MaySendTo(PolicyState& state, Endpoint& endpoint, bool is_not_idempotent) {
  if (!endpoint.accepts_calls || !PaceAllows(state, *endpoint.scope)) return false;
  if (!RecoveryBudgetAllows(state, endpoint)) return false;
  if (!endpoint.IsSuspect(state.now)) return true;
  if (is_not_idempotent && endpoint.MayRunAndFail(state.now)) return false;
  const int limit = state.settings.max_concurrent_calls;
  if (endpoint.InFlight() >= std::max(1, static_cast<int>(kSuspectCallFraction * limit))) return false;
  if (state.suspect_calls >= std::max(1, static_cast<int>(kAllSuspectsCallFraction * limit))) return false;
  if (!endpoint.ejected) return true;
  if (endpoint.half_open_attempt) return false;
  state.WakeBy(endpoint.half_open_at);
  return endpoint.half_open_at <= state.now;
}

// `sent_at`: of the call that failed.
inline void Eject(PolicyState& state, Endpoint& endpoint, Time sent_at, const char* reason) {
  if (!endpoint.ejected) state.Emit(WriteLogLine{"outage: " + endpoint.id + reason});
  StartRecovery(state, endpoint, sent_at);
  endpoint.scope->only_rejected = false;
  endpoint.ejected = true;
  endpoint.exempted = false;
  endpoint.scope->ejected = true;
  if (endpoint.scope->recovered_at <= sent_at) endpoint.scope->recovered_at.reset();
  endpoint.half_open_at = state.now + state.random.Jitter(kHalfOpenInterval);
}

inline void RecordSuccess(PolicyState& state, const Call& call, Duration latency) {
  Endpoint& endpoint = *call.endpoint;
  RateLimitScope& scope = *endpoint.scope;
  const bool is_crowded = KeepAliveTime(state, endpoint) < state.settings.connection_idle_timeout;
  if (is_crowded && call.idle_age == Duration(0)) state.keep_alive[endpoint.kind] *= kKeepAliveIncrease;
  if (latency > Duration(0)) {  // failures and rejections never feed the expected latency
    endpoint.destination->latency.Add(latency);
    state.global_latency.Add(latency);
    endpoint.consecutive_failures = 0;
    // Sent within a moment of another endpoint's failure, and answered: only that one has failed.
    const Duration moment = state.settings.overload_duration;
    const bool is_shortly_after = scope.recovering_since && call.sent_at >= *scope.recovering_since &&
                                  call.sent_at < *scope.recovering_since + moment;
    const bool has_failed_itself = endpoint.last_failure_at >= scope.recovering_since;
    endpoint.exempted |= is_shortly_after && !has_failed_itself;
    const bool is_sound = endpoint.failure_score.At(state.now) <= kEjectionThreshold;
    const bool is_new_call = !scope.ejected || call.sent_at >= scope.recovering_since;
    const bool has_recovered =
        scope.recovering_since && is_new_call && is_sound && !(endpoint.exempted && scope.ejected);
    if (has_recovered && !scope.recovered_at) {
      scope.recovered_at = state.now;
      if (scope.ejected) AnnounceRecovery(state, endpoint);
      const bool was_answered_recently =
          scope.last_answered_at && call.sent_at - *scope.last_answered_at < kShortestOutage;
      const bool was_limit = scope.only_rejected && scope.rejections < 2;
      scope.was_no_outage = was_answered_recently || was_limit;
    }
    scope.last_answered_at = state.now;
    scope.last_answered_sent_at = std::max(scope.last_answered_sent_at, call.sent_at);
  }
  endpoint.last_success_at = state.now;
  scope.rejections = 0;
  scope.connect_failures = 0;
  scope.decreases = 0;
  // The budget protects what has come back, so it need not be suspected for long.
  const double weight = scope.ejected && scope.recovered_at ? kRecoveredWeight : kSuccessWeight;
  endpoint.failure_score.MoveToward(0, weight, state.now);
  scope.answered.Add(state.now);
  IncreasePace(state, scope);
}

// A full table asks for no wait, and rejects before the handshake: sooner than a limit. Few can't fill one.
inline bool IsTableFull(PolicyState& state, const Call& call, const AttemptCompleted& event) {
  LatencyEstimate& rejections = state.rejection_latency;
  if (call.idle_age == Duration(0) && event.retry_after > Duration(0)) rejections.Add(event.latency);
  const double usual = (rejections.Count() > 0 ? rejections : state.global_latency).Mean();
  const bool is_early = static_cast<double>(event.latency.count()) < kTableFullLatencyFraction * usual;
  const bool is_crowded = KeepAliveTime(state, *call.endpoint) < state.settings.connection_idle_timeout;
  return is_early && is_crowded && call.idle_age + event.retry_after == Duration(0) &&
         !call.endpoint->ejected;
}

inline void RecordRejection(PolicyState& state, const Call& call, const AttemptCompleted& event) {
  Endpoint& endpoint = *call.endpoint;
  RateLimitScope& scope = *endpoint.scope;
  scope.retry_after_until = std::max(scope.retry_after_until, state.now + event.retry_after);
  const bool table_was_full = IsTableFull(state, call, event);
  if (table_was_full) state.keep_alive[endpoint.kind] *= kKeepAliveDecrease;
  const bool confirm = table_was_full && ++scope.connect_failures == 1;
  if (!table_was_full && call.sent_at > scope.last_decrease_at) ++scope.decreases;
  if (!confirm) DecreasePace(state, scope, call.sent_at);
  if (scope.rejections++ == 0) scope.rejected_since = state.now;
  StartRecovery(state, endpoint, call.sent_at, confirm);
  // Shut, not merely above its limit: a wait or a row of rejections as long as an outage matters.
  const Duration outage = state.settings.overload_duration;
  const bool rejects_all = scope.rejections >= kShutRejections && state.now - scope.rejected_since > outage;
  if (event.retry_after <= outage && !rejects_all) return;
  const double score = std::max(endpoint.failure_score.At(state.now), kEjectionThreshold + 0.1);
  endpoint.failure_score.MoveToward(score, 1, state.now);
  endpoint.failure_may_have_run = false;
  Eject(state, endpoint, call.sent_at, " refuses all");
}

inline void RecordFailure(PolicyState& state, const Call& call, Outcome outcome) {
  Endpoint& endpoint = *call.endpoint;
  RateLimitScope& scope = *endpoint.scope;
  const bool never_ran = outcome == Outcome::kConnectFailed;
  if (never_ran && !endpoint.HasFailed(state.now)) state.keep_alive[endpoint.kind] *= kKeepAliveDecrease;
  // Connections also break at random: what has really gone rejects the next, or is silent: counted in full.
  const bool is_soft = outcome == Outcome::kError || outcome == Outcome::kReset;
  endpoint.consecutive_failures += is_soft ? 0 : 1;
  endpoint.failure_may_have_run = !never_ran;
  // A connection that fails may have met a full table: one more call, to any endpoint, soon tells.
  const bool confirm = never_ran && !endpoint.ejected && ++scope.connect_failures == 1;
  const double weight = is_soft || call.at_deadline || confirm ? kSoftFailureWeight : kHardFailureWeight;
  endpoint.failure_score.MoveToward(1, weight, state.now);
  const double score = endpoint.failure_score.At(state.now);
  // A call that was sent later has been answered since: a single call was lost.
  const bool was_overtaken = call.sent_at < scope.last_answered_sent_at && endpoint.consecutive_failures < 2;
  if (!was_overtaken && (confirm || score >= kHardFailureWeight)) {
    endpoint.exempted = false;
    StartRecovery(state, endpoint, call.sent_at, confirm);
    scope.only_rejected = false;
  }
  if (confirm) return;
  if (scope.connect_failures > 1) {  // all that share the scope
    scope.ejected = true;
    if (scope.recovered_at <= call.sent_at) scope.recovered_at.reset();
  }
  // In an outage one more hard failure is enough: a success amid failures is no recovery.
  const double threshold = endpoint.ejected ? kHardFailureWeight : kEjectionThreshold;
  if (endpoint.consecutive_failures < 2 && score < threshold) return;
  DecreasePace(state, scope, call.sent_at);
  Eject(state, endpoint, call.sent_at, " fails");
}

inline void RecordOutcome(PolicyState& state, const Call& call, const AttemptCompleted& event) {
  if (event.load_report.rate_limit > 0) call.endpoint->scope->advertised_rate = event.load_report.rate_limit;
  if (RecordIdleAge(state, call, event)) return;
  if (event.outcome == Outcome::kCancelled || event.outcome == Outcome::kNotSent) return;
  if (event.outcome != Outcome::kOk) call.endpoint->last_failure_at = state.now;
  if (event.outcome == Outcome::kOk) return RecordSuccess(state, call, event.latency);
  if (event.outcome == Outcome::kRejected) return RecordRejection(state, call, event);
  RecordFailure(state, call, event.outcome);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_ENDPOINT_HEALTH_H_
