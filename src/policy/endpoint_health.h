// What the policy learns from the outcomes of calls about the health of endpoints. It decides how long idle
// connections are kept, because a connection may be dropped without notice while it is idle, and idle
// connections may fill up an endpoint's connection table. And it finds outliers, which are ejected until
// half-open attempts succeed. release.h calls MaySendTo and TakeConnection before a call and RecordOutcome
// after it.
#ifndef SAGETALLY_SRC_POLICY_ENDPOINT_HEALTH_H_
#define SAGETALLY_SRC_POLICY_ENDPOINT_HEALTH_H_

#include "policy/recovery_budget.h"
#include "policy/recovery_gossip.h"

namespace sagetally::policy {

// A connection that has been idle for less than this is as sound as one in use.
constexpr Duration kFreshIdleAge = milliseconds(200);
// Failures on idle connections are blamed on the idleness once they are this many times as frequent as
// failures on connections in use, over about a hundred calls of each sort.
constexpr double kIdleFailureRatio = 4;
// Calls on connections in use that are assumed beside the real ones, with one failure among them.
constexpr double kAssumedActiveCalls = 40;
// The first factor multiplies the time for which idle connections are kept when a connection fails where all
// seemed well, or is rejected by a full connection table. The second multiplies it when a call is answered on
// a new connection. While the connection tables are full, they balance where one new connection in thirty
// fails.
constexpr double kKeepAliveDecreaseFactor = 0.25;
constexpr double kKeepAliveIncreaseFactor = 1.05;
// Idle connections that all dispatchers together may keep at one endpoint, if that is more than its calls in
// service.
constexpr double kMinIdleConnections = 4;
// A rejection comes from a full connection table if it is faster than this fraction of the mean latency of
// rejections that ask for a pause, or of answers as long as there were no such rejections.
constexpr double kTableFullLatencyFraction = 0.65;
// A failure moves the failure score to 1 and a success moves it to 0, each by a fraction of the distance. The
// fraction is one of the following weights, or kHardFailureWeight. The first is for an error answer or a
// reset, of which single ones are common, and for other failures that prove little: at the message's
// deadline, on an idle connection, or not yet confirmed.
constexpr double kSoftFailureWeight = 0.25;
// After three or four successes an endpoint is no suspect any more.
constexpr double kSuccessWeight = 0.3;
// For a success of an endpoint that was ejected: after two of them it is no suspect any more.
constexpr double kRecoveredSuccessWeight = 0.6;
// An endpoint is ejected when its failure score reaches this. Two hard failures in a row reach it; two with a
// success between them do not.
constexpr double kEjectionThreshold = 0.7;
// So many rejections in a row, over more than overload_duration, are an outage. A shorter outage does not
// matter.
constexpr int kOutageRejections = 3;
// Time between half-open attempts at an ejected endpoint. It is short so that the end of an outage is noticed
// soon.
constexpr Duration kHalfOpenInterval = seconds(1);
// Fraction of max_concurrent_calls that may be in flight to one suspect endpoint (at least one call).
constexpr double kSuspectCallFraction = 0.2;
// Fraction of max_concurrent_calls that may be in flight to all suspect endpoints together (at least one
// call).
constexpr double kAllSuspectsCallFraction = 0.4;

// Whether a call to the endpoint can use an open connection, that is an idle one or a free stream of one in
// use. Forgets the connections that have reached connection_idle_timeout.
inline bool HasConnection(const PolicyState& state, Endpoint& endpoint) {
  const Duration timeout = state.settings.connection_idle_timeout;
  std::erase_if(endpoint.idle_since, [&](Time since) { return since + timeout <= state.now; });
  const int streams = state.settings.max_streams_per_connection;
  return !endpoint.idle_since.empty() || (streams > 1 && endpoint.InFlight() % streams != 0);
}

// Takes a connection for a call. Returns for how long it has been idle; 0 if it is new or in use.
inline Duration TakeConnection(const PolicyState& state, Endpoint& endpoint) {
  if (!HasConnection(state, endpoint) || endpoint.idle_since.empty()) return Duration(0);
  const Duration age = state.now - endpoint.idle_since.back();
  endpoint.idle_since.pop_back();
  return age;
}

// For how long an idle connection to the endpoint is kept. Before the factor of the endpoint's kind
// (keep_alive_factors) is learned, it is the time at which all dispatchers together have about as many
// connections open at the endpoint as it has calls in service, or kMinIdleConnections if that is more.
inline Duration KeepAliveTime(const PolicyState& state, const Endpoint& endpoint) {
  const Duration timeout = state.settings.connection_idle_timeout;
  const auto endpoint_count = std::ranges::count_if(
      endpoint.destination->endpoints,
      [&](const Endpoint* other) { return other->accepts_calls && other->scope == endpoint.scope; });
  const double call_rate = TotalRate(state, *endpoint.scope) / std::max<double>(1, endpoint_count);
  const double calls_in_service = call_rate * ToSeconds(endpoint.destination->MeanLatency());
  const double connections = std::max(kMinIdleConnections, calls_in_service);
  const double idle_seconds = IdleSecondsFor(connections, state.settings.dispatcher_count, call_rate);
  const double usual_seconds = std::min(ToSeconds(timeout), idle_seconds);
  return std::min(timeout, FromSeconds(state.keep_alive_factors[endpoint.kind] * usual_seconds));
}

// Closes the idle connections of each endpoint at which one has been idle for longer than it is kept or
// trusted.
inline void CloseExpiredConnections(PolicyState& state) {
  std::erase_if(state.idle_endpoints, [&](const auto& entry) {
    Endpoint& endpoint = *entry.second;
    if (endpoint.idle_since.empty()) return true;
    const Duration keep_alive_time = std::min(state.idle_limit.At(state.now), KeepAliveTime(state, endpoint));
    if (keep_alive_time >= state.settings.connection_idle_timeout) return false;
    state.WakeBy(endpoint.idle_since.front() + keep_alive_time);
    if (endpoint.idle_since.front() + keep_alive_time > state.now) return false;
    endpoint.idle_since.clear();
    state.Emit(CloseIdleConnections{endpoint.id});
    return true;
  });
}

// Learns from the outcome of a call for how long connections may be idle. Returns true if the call's failure
// is blamed on an idle connection. Such a failure is weak evidence of an outage and has been recorded here.
inline bool RecordIdleAge(PolicyState& state, const Call& call, const AttemptCompleted& event) {
  Endpoint& endpoint = *call.endpoint;
  const bool failed =
      MayStillRun(event.outcome) && !(event.outcome == Outcome::kTimeout && call.ended_at_deadline);
  const bool was_idle = call.idle_age >= kFreshIdleAge;
  if (failed || event.outcome == Outcome::kOk) (was_idle ? state.idle_calls : state.active_calls).Add(failed);
  const bool is_blamed =
      state.idle_calls.FailsMore(kIdleFailureRatio, state.active_calls, kAssumedActiveCalls);
  // Where connections of any age fall silent, that is no reason to close idle ones.
  if (failed && !was_idle && !is_blamed) state.idle_limit.Reset();
  const Duration limit = state.idle_limit.At(state.now);
  if (failed && was_idle && is_blamed && !endpoint.HasFailed(state.now)) {
    // The connection may have been dropped without notice, so the limit is lowered. If the next call to the
    // endpoint is not answered with a usual latency, there was an outage, and the code below restores the
    // limit.
    if (!endpoint.idle_limit_before) endpoint.idle_limit_before = std::min<Duration>(limit, seconds(3600));
    state.idle_limit.Set(std::min(limit, call.idle_age / 2), state.now);
    endpoint.failure_score.MoveToward(1, kSoftFailureWeight, state.now);
    endpoint.failure_may_have_run = true;
    return true;
  }
  const double usual = std::min(endpoint.destination->latency.Mean(), state.global_latency.Mean());
  const bool is_slow = static_cast<double>(event.latency.count()) > 2 * usual;
  if (endpoint.idle_limit_before && (event.outcome != Outcome::kOk || is_slow)) {
    const Duration restored = std::max(*endpoint.idle_limit_before, limit);
    // Without a limit since then, connections of any age have failed, and idle ones are not trusted for a
    // while.
    state.idle_limit.Set(restored == Duration::max() ? Duration(0) : restored, state.now);
  }
  endpoint.idle_limit_before.reset();
  return false;
}

// Whether a call may go to the endpoint now, by its pace, the recovery budget and its health. A suspect gets
// few calls, and no message that is not idempotent if that may run there and fail. A suspect that is ejected
// gets one half-open attempt at a time.
inline bool MaySendTo(PolicyState& state, Endpoint& endpoint, bool is_not_idempotent) {
  if (!endpoint.accepts_calls || !PaceAllows(state, *endpoint.scope)) return false;
  if (!RecoveryBudgetAllows(state, endpoint)) return false;
  if (!endpoint.IsSuspect(state.now)) return true;
  if (is_not_idempotent && endpoint.MayRunAndFail(state.now)) return false;
  const int limit = state.settings.max_concurrent_calls;
  if (endpoint.InFlight() >= std::max(1, static_cast<int>(kSuspectCallFraction * limit))) return false;
  if (state.suspect_calls >= std::max(1, static_cast<int>(kAllSuspectsCallFraction * limit))) return false;
  if (!endpoint.ejected) return true;
  if (endpoint.has_half_open_attempt) return false;
  state.WakeBy(endpoint.half_open_at);
  return endpoint.half_open_at <= state.now;
}

// Ejects the endpoint after a call that was sent at `sent_at` failed. `reason` completes the log line. If the
// endpoint is ejected already, its next half-open attempt is put off.
inline void Eject(PolicyState& state, Endpoint& endpoint, Time sent_at, const char* reason) {
  if (!endpoint.ejected) state.Emit(WriteLogLine{"outage: " + endpoint.id + reason});
  StartRecovery(state, endpoint, sent_at);
  endpoint.scope->only_rejected = false;
  endpoint.ejected = true;
  endpoint.exempt_from_budget = false;
  endpoint.scope->ejected = true;
  if (endpoint.scope->recovered_at <= sent_at) endpoint.scope->recovered_at.reset();
  endpoint.half_open_at = state.now + state.random.Jitter(kHalfOpenInterval);
}

// Learns from an answered call. A `latency` of 0 shows nothing about the expected latency and the recovery.
inline void RecordSuccess(PolicyState& state, const Call& call, Duration latency) {
  Endpoint& endpoint = *call.endpoint;
  RateLimitScope& scope = *endpoint.scope;
  const bool is_keep_alive_limited = KeepAliveTime(state, endpoint) < state.settings.connection_idle_timeout;
  if (is_keep_alive_limited && call.idle_age == Duration(0)) {
    state.keep_alive_factors[endpoint.kind] *= kKeepAliveIncreaseFactor;
  }
  // The expected latency is learned from answers only, never from failures or rejections.
  if (latency > Duration(0)) {
    endpoint.destination->latency.Add(latency);
    state.global_latency.Add(latency);
    endpoint.consecutive_failures = 0;
    // The call was sent within overload_duration of the failure that started the recovery, and it was
    // answered. If the endpoint has not failed itself, only another endpoint of the scope has.
    const Duration window = state.settings.overload_duration;
    const bool was_sent_soon_after = scope.recovering_since && call.sent_at >= *scope.recovering_since &&
                                     call.sent_at < *scope.recovering_since + window;
    const bool has_failed_itself = endpoint.last_failure_at >= scope.recovering_since;
    endpoint.exempt_from_budget |= was_sent_soon_after && !has_failed_itself;
    const bool is_healthy = endpoint.failure_score.At(state.now) <= kEjectionThreshold;
    const bool is_new_call = !scope.ejected || call.sent_at >= scope.recovering_since;
    const bool has_recovered = scope.recovering_since && is_new_call && is_healthy &&
                               !(endpoint.exempt_from_budget && scope.ejected);
    if (has_recovered && !scope.recovered_at) {
      scope.recovered_at = state.now;
      if (scope.ejected) AnnounceRecovery(state, endpoint);
      const bool was_answered_recently =
          scope.last_answered_at && call.sent_at - *scope.last_answered_at < kShortestOutage;
      const bool was_rate_limit = scope.only_rejected && scope.rejections < 2;
      scope.was_no_outage = was_answered_recently || was_rate_limit;
    }
    scope.last_answered_at = state.now;
    scope.last_answered_sent_at = std::max(scope.last_answered_sent_at, call.sent_at);
  }
  endpoint.last_success_at = state.now;
  scope.rejections = 0;
  scope.connect_failures = 0;
  scope.decreases = 0;
  // The recovery budget protects a scope that has recovered, so its endpoints need not be suspects for long.
  const double weight = scope.ejected && scope.recovered_at ? kRecoveredSuccessWeight : kSuccessWeight;
  endpoint.failure_score.MoveToward(0, weight, state.now);
  scope.answered_rate.Add(state.now);
  IncreasePace(state, scope);
}

// Whether a rejection comes from a full connection table. An endpoint whose table is full asks for no pause,
// and it rejects before the handshake, which is sooner than a rate limit does. Few dispatchers cannot fill a
// table; where they are few, the keep-alive time is not limited.
inline bool IsTableFull(PolicyState& state, const Call& call, const AttemptCompleted& event) {
  LatencyEstimate& rejections = state.rejection_latency;
  if (call.idle_age == Duration(0) && event.retry_after > Duration(0)) rejections.Add(event.latency);
  const double usual = (rejections.Count() > 0 ? rejections : state.global_latency).Mean();
  const bool is_early = static_cast<double>(event.latency.count()) < kTableFullLatencyFraction * usual;
  const bool is_keep_alive_limited =
      KeepAliveTime(state, *call.endpoint) < state.settings.connection_idle_timeout;
  return is_early && is_keep_alive_limited && call.idle_age + event.retry_after == Duration(0) &&
         !call.endpoint->ejected;
}

// Learns from a rejected call: the pace, the recovery, and whether the endpoint is ejected.
inline void RecordRejection(PolicyState& state, const Call& call, const AttemptCompleted& event) {
  Endpoint& endpoint = *call.endpoint;
  RateLimitScope& scope = *endpoint.scope;
  scope.retry_after_until = std::max(scope.retry_after_until, state.now + event.retry_after);
  const bool table_was_full = IsTableFull(state, call, event);
  if (table_was_full) state.keep_alive_factors[endpoint.kind] *= kKeepAliveDecreaseFactor;
  const bool needs_confirmation = table_was_full && ++scope.connect_failures == 1;
  if (!table_was_full && call.sent_at > scope.last_decrease_at) ++scope.decreases;
  if (!needs_confirmation) DecreasePace(state, scope, call.sent_at);
  if (scope.rejections++ == 0) scope.rejected_since = state.now;
  StartRecovery(state, endpoint, call.sent_at, needs_confirmation);
  // The endpoint rejects everything, not only the calls above its rate limit, if it asks for a pause of more
  // than overload_duration or has rejected all calls for longer than that. A shorter outage does not matter.
  const Duration min_outage = state.settings.overload_duration;
  const bool rejects_all =
      scope.rejections >= kOutageRejections && state.now - scope.rejected_since > min_outage;
  if (event.retry_after <= min_outage && !rejects_all) return;
  const double score = std::max(endpoint.failure_score.At(state.now), kEjectionThreshold + 0.1);
  endpoint.failure_score.MoveToward(score, 1, state.now);
  endpoint.failure_may_have_run = false;
  Eject(state, endpoint, call.sent_at, " refuses all");
}

// Learns from a call that was not answered, had no connection, or got an error answer.
inline void RecordFailure(PolicyState& state, const Call& call, Outcome outcome) {
  Endpoint& endpoint = *call.endpoint;
  RateLimitScope& scope = *endpoint.scope;
  const bool never_ran = outcome == Outcome::kConnectFailed;
  if (never_ran && !endpoint.HasFailed(state.now)) {
    state.keep_alive_factors[endpoint.kind] *= kKeepAliveDecreaseFactor;
  }
  // Connections also break at random, so an error answer or a reset counts little. An endpoint that has
  // really gone does not accept the next connection, or does not answer, and that counts in full.
  const bool is_soft = outcome == Outcome::kError || outcome == Outcome::kReset;
  endpoint.consecutive_failures += is_soft ? 0 : 1;
  endpoint.failure_may_have_run = !never_ran;
  // A connection that failed may have met a full connection table. One more call, to any endpoint of the
  // scope, soon shows whether it did.
  const bool needs_confirmation = never_ran && !endpoint.ejected && ++scope.connect_failures == 1;
  const double weight =
      is_soft || call.ended_at_deadline || needs_confirmation ? kSoftFailureWeight : kHardFailureWeight;
  endpoint.failure_score.MoveToward(1, weight, state.now);
  const double score = endpoint.failure_score.At(state.now);
  // A call that was sent later has been answered in the meantime, so only this one call was lost.
  const bool was_overtaken = call.sent_at < scope.last_answered_sent_at && endpoint.consecutive_failures < 2;
  if (!was_overtaken && (needs_confirmation || score >= kHardFailureWeight)) {
    endpoint.exempt_from_budget = false;
    StartRecovery(state, endpoint, call.sent_at, needs_confirmation);
    scope.only_rejected = false;
  }
  if (needs_confirmation) return;
  // After the second connection failure the outage is one of all endpoints that share the scope.
  if (scope.connect_failures > 1) {
    scope.ejected = true;
    if (scope.recovered_at <= call.sent_at) scope.recovered_at.reset();
  }
  // For an ejected endpoint one more hard failure is enough, because a success among failures is no recovery.
  const double threshold = endpoint.ejected ? kHardFailureWeight : kEjectionThreshold;
  if (endpoint.consecutive_failures < 2 && score < threshold) return;
  DecreasePace(state, scope, call.sent_at);
  Eject(state, endpoint, call.sent_at, " fails");
}

// Learns from the outcome of a call. It is called once for each call, with the event of the first message
// that ends.
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
