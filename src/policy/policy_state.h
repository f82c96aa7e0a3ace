// The state of the dispatch policy: one struct for each thing that the policy keeps track of, and
// PolicyState, which holds them all. DispatchPolicy (dispatch_policy.cpp) owns the one PolicyState; the other
// headers of this directory are functions on it. It is used by one thread at a time.
#ifndef SAGETALLY_SRC_POLICY_POLICY_STATE_H_
#define SAGETALLY_SRC_POLICY_POLICY_STATE_H_

#include <deque>
#include <map>
#include <set>

#include "estimators/decay.h"
#include "estimators/expiry_queue.h"
#include "estimators/latency_estimate.h"
#include "estimators/minimum.h"
#include "estimators/ramp.h"
#include "estimators/random_source.h"
#include "estimators/sliding_window.h"
#include "estimators/token_bucket.h"

namespace sagetally::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A call is not overdue before it has been in flight for this time: a shorter pause does not show that the
// endpoint has stopped answering.
constexpr Duration kMinOverdueTime = milliseconds(300);
// Time before a message's deadline that is kept for its final answer to arrive.
constexpr Duration kMinAnswerTime = milliseconds(15);
// For this time after the limit of concurrent calls was reached, the policy still acts as if it were reached.
constexpr Duration kCallLimitMemory = seconds(2);
// Interval at which the idle age up to which connections are trusted doubles after it was lowered.
constexpr Duration kIdleLimitDoublingInterval = seconds(30);
// A call is overdue once it has been in flight for this many expected latencies.
constexpr double kOverdueExpectedLatencies = 2.0;
// An endpoint whose failure score is above this is a suspect: it gets few calls, and no messages that are not
// idempotent unless its last failed call never ran.
constexpr double kSuspectThreshold = 0.3;

struct Call;
struct Endpoint;
struct Message;
// Queued messages by Message::arrived_at, then by Message::number.
using MessageQueue = std::map<std::pair<Time, std::uint64_t>, Message*>;

// Permits for calls within the recovery budget of a rate-limit scope (see recovery_budget.h). There is one
// permit at most at a time.
struct RecoveryPermits {
  // When the permit expires. There is no permit if this is not later than now.
  Time permit_expires_at{0};
  // Progress to the next share permit, 0 to 1, as of share_updated_at.
  double share_progress = 0;
  Time share_updated_at{0};
  // When a permit is granted for one more call, which shows whether the last failure was one at all. max():
  // no such permit is due.
  Time confirm_at = Time::max();
};

// What shares one rate limit: all endpoints of a destination, or one endpoint where each has its own limit.
struct RateLimitScope {
  // Nothing is sent before this time, because a rejection asked for a pause (Retry-After).
  Time retry_after_until{0};
  // Calls a second for all dispatchers together. 0: not advertised.
  double advertised_rate = 0;
  // Calls a second of this dispatcher. 0: not limited.
  double pace = 0;
  // Keeps the calls to the pace.
  TokenBucket bucket;
  RecoveryPermits permits;
  // When the pace was last decreased.
  Time last_decrease_at{-1};
  // When the pace was last changed, up or down.
  Time last_increase_at{0};
  // When the first of the rejections that `rejections` counts came.
  Time rejected_since{0};
  // Answered calls a second.
  DecayedRate answered_rate;
  // Accepted messages a second that may be sent here.
  DecayedRate arrival_rate;
  // When the last answer came.
  std::optional<Time> last_answered_at;
  // Latest send time of all calls that were answered.
  Time last_answered_sent_at{-1};
  // Calls sent within the last overload_duration.
  SlidingWindow recent_calls;
  // Rejections since the last success.
  int rejections = 0;
  // Failed connections, and rejections by a full connection table, since the last success. Those of ejected
  // endpoints do not count.
  int connect_failures = 0;
  // Rejections since the last success that came from a rate limit and decreased the pace.
  int decreases = 0;
  // Since when calls are held to the recovery budget, which starts with a failure or rejection.
  std::optional<Time> recovering_since;
  // When the first call since recovering_since was answered, here or at another dispatcher. An outage that a
  // later call meets unsets it.
  std::optional<Time> recovered_at;
  // Answered calls a second before recovering_since.
  double usual_rate = 0;
  // When another dispatcher announced that it was answered here after an outage.
  std::optional<Time> peer_recovered_at;
  // Since recovering_since nothing but rejections has counted as a failure, and they look like those of a
  // rate limit, not like an outage.
  bool only_rejected = false;
  // The first answer since recovering_since has shown that there was no outage.
  bool was_no_outage = false;
  // Since recovering_since an endpoint was ejected, or connections failed twice without a success between.
  bool ejected = false;
};

// A destination: its endpoints and the messages that wait for them.
struct Destination {
  int number = 0;
  // PolicyState::global_latency.
  const LatencyEstimate* global_latency = nullptr;
  // Queues by message class: of the messages that are not relegated, and of those that are.
  std::vector<MessageQueue> ready, relegated;
  std::vector<Endpoint*> endpoints = {};
  // Messages in all queues.
  int waiting_count = 0;
  // Latency of the answered calls to this destination.
  LatencyEstimate latency = {};

  // Mean latency plus two standard deviations, which gives a margin for slow calls. PooledLatency bounds the
  // deviation, because a few samples or a long tail would make relegation misfire. 0 until a call to this
  // destination has been answered.
  Duration ExpectedLatency() const { return PooledLatency(latency, *global_latency, 2); }
  // Mean latency without a margin. 0 until a call to this destination has been answered.
  Duration MeanLatency() const { return PooledLatency(latency, *global_latency, 0); }
};

// An endpoint, from its first listing until it has been gone for several warm-up times.
struct Endpoint {
  std::string id;
  int zone = 0, kind = 0;
  Destination* destination = nullptr;
  RateLimitScope* scope = nullptr;
  // Between 0 (calls succeed) and 1 (calls fail). It decays with time, because a dispatcher that calls seldom
  // would otherwise withhold messages from the endpoint for ever.
  DecayedScore failure_score;
  // The endpoint has a rate limit of its own.
  bool has_own_limit = false;
  // The endpoint is in the list and not draining.
  bool accepts_calls = false;
  // When the endpoint left the list; unset while it is in the list.
  std::optional<Time> removed_at = {};
  // Send times of the calls in flight.
  std::multiset<Time> in_flight_since = {};
  // Since when each open idle connection has been idle, the longest idle one first.
  std::vector<Time> idle_since = {};
  // Set if a call failed on an idle connection and no call has ended since: the limit of the trusted idle age
  // before that failure lowered it.
  std::optional<Duration> idle_limit_before = {};
  bool ejected = false;
  // A half-open attempt is in flight.
  bool has_half_open_attempt = false;
  // The message of the call that failed last may have run.
  bool failure_may_have_run = false;
  // Earliest time of the next half-open attempt.
  Time half_open_at{0};
  // When the last success came; before all times if there was none.
  Time last_success_at{-1};
  // Hard failures of calls in a row. Error answers and resets neither count nor end the row.
  int consecutive_failures = 0;
  // When the last call failed or was rejected.
  std::optional<Time> last_failure_at = {};
  // The recovery budget does not apply: the endpoint answered while another one of its scope failed.
  bool exempt_from_budget = false;

  int InFlight() const { return static_cast<int>(in_flight_since.size()); }
  // Whether the oldest call in flight has taken too long, with no success since it was sent.
  bool IsOverdue(Time now) const {
    if (in_flight_since.empty() || last_success_at > *in_flight_since.begin()) return false;
    const double expected = ToSeconds(destination->ExpectedLatency());
    const Duration limit =
        std::max<Duration>(FromSeconds(kOverdueExpectedLatencies * expected), kMinOverdueTime);
    return expected > 0 && now - *in_flight_since.begin() > limit;
  }
  bool HasFailed(Time now) const { return failure_score.At(now) > kSuspectThreshold; }
  bool IsSuspect(Time now) const { return HasFailed(now) || IsOverdue(now); }
  // Whether a call to the endpoint is likely to run there and fail all the same. Where the last failed call
  // never ran (no connection, or rejected), any message can be tried.
  bool MayRunAndFail(Time now) const { return IsOverdue(now) || (failure_may_have_run && HasFailed(now)); }
};

// An accepted message, until its final status is known and no attempt for it is in flight. Its `key` is empty
// unless its class is ordered by key.
struct Message : MessageAccepted {
  // Counts the accepted messages.
  std::uint64_t number = 0;
  Destination* target = nullptr;
  const ClassSettings* settings = nullptr;
  // When the host handed the message to this policy.
  Time accepted_at{0};
  // When the client first handed the message in, as its deadline shows.
  Time arrived_at{0};
  // End of the latency objective.
  Time objective_at{0};
  Time deadline{0};
  // When the last attempt was sent.
  Time sent_at{0};
  // The final status is known.
  bool has_ended = false;
  // The message is in the queue of the relegated messages.
  bool relegated = false;
  // A message of lower weight has been relegated in place of this one. That happens once; after it this
  // message is relegated only when none of lower weight is left to relegate.
  bool exempt_from_relegation = false;
  // The call of the attempt in flight, or null.
  Call* call = nullptr;
  // Endpoint of the first attempt that may have run.
  const Endpoint* uncertain_endpoint = nullptr;
  // Endpoint of the last attempt.
  const Endpoint* last_endpoint = nullptr;
  // Zone of the first attempt that may have run.
  int uncertain_zone = -1;

  bool IsNotIdempotent() const { return settings->idempotency == Idempotency::kNotIdempotent; }
  bool HasIdempotencyKey() const { return settings->idempotency == Idempotency::kIdempotentWithKey; }
};

// The messages of one ordering key.
struct OrderingKeyQueue {
  // In the order accepted. A message in flight stays at the front.
  std::deque<Message*> messages;
  // No message with this key is sent before this time.
  Time quiet_until{0};
};

// A call in flight. It carries one or more messages.
struct Call {
  std::uint64_t number = 0;
  Endpoint* endpoint = nullptr;
  Time sent_at{0};
  // How long the connection had been idle when the call was sent. 0: it was new or in use.
  Duration idle_age{0};
  std::vector<Message*> messages = {};
  // How many calls that were sent later to the same endpoint have been answered.
  int overtaken_by = 0;
  bool is_half_open_attempt = false;
  // The outcome has been used for the health of the endpoint. It is used once, for the first message.
  bool outcome_recorded = false;
  bool cancelled = false;
  // The call ended when a message of it was due, at its deadline less kMinAnswerTime or later.
  bool ended_at_deadline = false;
  // If the call was rejected, the connection table may have been full: the call went out on a new connection,
  // and the rejection asked for no pause.
  bool table_may_be_full = false;
};

// All state of one policy.
struct PolicyState {
  Settings settings;
  RandomSource random;
  // Time of the present run.
  Time now = Time::min();
  // When the limit of concurrent calls last kept a message from being sent.
  Time call_limit_reached_at = now;
  // The actions of the present run.
  std::vector<Action>* actions = nullptr;
  // When the next decision is due.
  Time wake_at = Time::max();
  // When the shutdown cuts off the calls that are in flight.
  Time shutdown_at = Time::max();
  // The worst delay with which timers have fired of late; each timer that fires lets it fade by a tenth.
  Duration timer_delay{0};
  std::map<std::string, Message> messages = {};
  std::map<int, Destination> destinations = {};
  // Destinations for which messages wait. They are few, and a run visits no others.
  std::map<int, Destination*> active_destinations = {};
  std::map<std::string, Endpoint> endpoints = {};
  // By destination and endpoint; the endpoint is "" where the endpoints of a destination share a limit.
  std::map<std::pair<int, std::string>, RateLimitScope> scopes = {};
  std::map<std::string, OrderingKeyQueue> ordering_keys = {};
  // Ids of messages, by when the destination forgets their idempotency keys.
  ExpiryQueue deduplication_ends = {};
  std::map<std::uint64_t, Call> calls = {};
  std::uint64_t next_message_number = 0, next_call_number = 0;
  // Messages without a final status, relegated messages in the queues, and calls in flight to suspects.
  int pending_count = 0, relegated_count = 0, suspect_calls = 0;
  // Fraction of the pending messages that are relegated. It measures the overload that this dispatcher sees.
  double relegated_fraction = 0;
  // The last run of Release ended because the limit of concurrent calls was reached.
  bool at_call_limit = false;
  // Latency of all answered calls.
  LatencyEstimate global_latency = {};
  // Latency of rejections that asked for a pause and came on new connections.
  LatencyEstimate rejection_latency = {};
  // Accepted messages a second, by tenant.
  std::vector<DecayedRate> tenant_usage{settings.tenants.size()};
  // Idle age up to which a connection is trusted.
  DoublingLimit idle_limit{kIdleLimitDoublingInterval};
  // Failures among the calls on connections that had been idle (for kFreshIdleAge or longer), and among all
  // other calls.
  DecayedFailureCount idle_calls = {}, active_calls = {};
  // By kind: factor on the usual time for which an idle connection is kept (see KeepAliveTime).
  std::vector<double> keep_alive_factors = std::vector(settings.kinds.size(), 1.0);
  // Endpoints that may have idle connections.
  std::map<std::string, Endpoint*> idle_endpoints = {};

  // Makes sure that the policy runs again by `time`, unless that is now or past.
  void WakeBy(Time time) {
    if (time > now) wake_at = std::min(wake_at, time);
  }
  void Emit(Action action) { actions->push_back(std::move(action)); }
  // Whether the limit of concurrent calls was reached within the last kCallLimitMemory.
  bool WasAtCallLimit() const { return now < call_limit_reached_at + kCallLimitMemory; }
};

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_POLICY_STATE_H_
