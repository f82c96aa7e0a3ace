// What the decision module knows: one struct for each thing, and PolicyState, which holds them all.
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

constexpr Duration kMinOverdue = milliseconds(300);    // shorter pauses are no silence
constexpr Duration kMinAnswerTime = milliseconds(15);  // before a deadline, for the final answer to arrive
constexpr Duration kCallLimitMemory = seconds(2);
constexpr Duration kIdleLimitDoubling = seconds(30);
constexpr double kOverdueExpectedCalls = 2.0;  // a call in flight for so many expected latencies is overdue
constexpr double kSuspectThreshold = 0.3;  // of the failure score; above: only idempotent messages, few calls

struct Call;
struct Endpoint;
struct Message;
using MessageQueue = std::map<std::pair<Time, std::uint64_t>, Message*>;  // by arrival, then number

// Permits for calls within the recovery budget.
struct RecoveryPermits {
  Time permit_expires_at{0};  // of the one permit that may be held; not later than now: there is none
  double share_progress = 0;  // to the next share permit, 0 to 1
  Time share_updated_at{0};
  Time confirm_at = Time::max();  // one more call shows whether the last was a failure at all
};

struct RateLimitScope {  // a destination, or one endpoint where each has a limit of its own
  Time retry_after_until{0};
  double advertised_rate = 0;  // calls a second for all dispatchers; 0: none
  double pace = 0;             // calls a second of this dispatcher; 0: unlimited
  TokenBucket bucket;
  RecoveryPermits permits;
  Time last_decrease_at{-1}, last_increase_at{0}, rejected_since{0};
  DecayedRate answered, arrivals;  // calls; messages that could go here
  std::optional<Time> last_answered_at;
  Time last_answered_sent_at{-1};  // when the last call of those that were answered was sent
  SlidingWindow recent_calls;
  int rejections = 0, connect_failures = 0, decreases = 0;  // in a row; decreases by a limit
  std::optional<Time> recovering_since, recovered_at;  // held to the budget; the first call answered since
  double usual_rate = 0;                               // answered calls a second before
  std::optional<Time> peer_recovered_at;  // another dispatcher was answered there after an outage
  bool only_rejected = false;             // since recovering_since, and by no more than a limit would
  bool was_no_outage = false;             // as the first answer since has shown
  bool ejected = false;                   // an endpoint was ejected since
};

struct Destination {
  int number = 0;
  const LatencyEstimate* global_latency = nullptr;
  std::vector<MessageQueue> ready, relegated;  // by class
  std::vector<Endpoint*> endpoints = {};
  int waiting_count = 0;  // messages in all queues
  LatencyEstimate latency = {};

  // With two deviations, as relegation would misfire without. 0 before any call has returned.
  Duration ExpectedLatency() const { return PooledLatency(latency, *global_latency, 2); }
  Duration MeanLatency() const { return PooledLatency(latency, *global_latency, 0); }
};

struct Endpoint {
  std::string id;
  int zone = 0, kind = 0;
  Destination* destination = nullptr;
  RateLimitScope* scope = nullptr;
  DecayedScore failure_score;  // fades, or who calls seldom would hold messages for ever
  bool has_own_limit = false, accepts_calls = false;
  std::optional<Time> removed_at = {};  // no list has named it since
  std::multiset<Time> in_flight_since = {};
  std::vector<Time> idle_since = {};               // of open idle connections, the longest idle first
  std::optional<Duration> idle_limit_before = {};  // an idle connection failed; no call has ended since
  bool ejected = false, half_open_attempt = false, failure_may_have_run = false;  // the call that failed last
  Time half_open_at{0}, last_success_at{-1};
  int consecutive_failures = 0;              // hard ones, of calls
  std::optional<Time> last_failure_at = {};  // or rejection
  bool exempted = false;  // from the recovery budget: answered while another endpoint of the scope failed

  int InFlight() const { return static_cast<int>(in_flight_since.size()); }
  bool IsOverdue(Time now) const {
    if (in_flight_since.empty() || last_success_at > *in_flight_since.begin()) return false;
    const double expected = ToSeconds(destination->ExpectedLatency());
    const Duration limit = std::max<Duration>(FromSeconds(kOverdueExpectedCalls * expected), kMinOverdue);
    return expected > 0 && now - *in_flight_since.begin() > limit;
  }
  bool HasFailed(Time now) const { return failure_score.At(now) > kSuspectThreshold; }
  bool IsSuspect(Time now) const { return HasFailed(now) || IsOverdue(now); }
  // What never ran (no connection, rejected) can be tried with anything.
  bool MayRunAndFail(Time now) const { return IsOverdue(now) || (failure_may_have_run && HasFailed(now)); }
};

struct Message : MessageAccepted {  // its key is empty unless it is for ordering
  std::uint64_t number = 0;
  Destination* target = nullptr;
  const ClassSettings* settings = nullptr;
  Time accepted_at{0}, arrived_at{0}, objective_at{0}, deadline{0}, sent_at{0};
  bool has_ended = false, relegated = false, exempted = false;  // exempted from relegation
  Call* call = nullptr;                                         // in flight
  const Endpoint *uncertain_endpoint = nullptr, *last_endpoint = nullptr;
  int uncertain_zone = -1;

  bool IsNotIdempotent() const { return settings->idempotency == Idempotency::kNotIdempotent; }
  bool HasIdempotencyKey() const { return settings->idempotency == Idempotency::kIdempotentWithKey; }
};

struct OrderingKeyQueue {
  std::deque<Message*> messages;  // in the order accepted, those in flight too
  Time quiet_until{0};
};

struct Call {
  std::uint64_t number = 0;
  Endpoint* endpoint = nullptr;
  Time sent_at{0};
  Duration idle_age{0};  // of the connection it went out on; 0: a new one
  std::vector<Message*> messages = {};
  int overtaken_by = 0;  // calls sent later to the same endpoint and answered
  bool half_open_attempt = false, outcome_recorded = false, cancelled = false;
  bool at_deadline = false;     // it ended at a message's own
  bool table_was_full = false;  // perhaps: rejected without a wait on a new connection
};

struct PolicyState {
  Settings settings;
  RandomSource random;
  Time now = Time::min(), call_limit_reached_at = now;
  std::vector<Action>* actions = nullptr;
  Time wake_at = Time::max(), shutdown_at = Time::max();  // when the next decision is due; calls are cut off
  Duration timer_delay{0};                                // by which timers fired late, at worst and of late
  std::map<std::string, Message> messages = {};
  std::map<int, Destination> destinations = {};
  std::map<int, Destination*> active = {};  // for which messages wait: few, and all that a run visits
  std::map<std::string, Endpoint> endpoints = {};
  std::map<std::pair<int, std::string>, RateLimitScope> scopes = {};  // by destination and endpoint or ""
  std::map<std::string, OrderingKeyQueue> ordering_keys = {};
  ExpiryQueue deduplication_ends = {};  // ids of messages
  std::map<std::uint64_t, Call> calls = {};
  std::uint64_t next_message_number = 0, next_call_number = 0;
  int pending_count = 0, relegated_count = 0, suspect_calls = 0;
  double relegated_fraction = 0;  // of the pending messages: the overload as seen here
  bool at_call_limit = false;     // the last release ended at the limit of concurrent calls
  LatencyEstimate global_latency = {}, rejection_latency = {};     // with Retry-After, on new connections
  std::vector<DecayedRate> tenant_usage{settings.tenants.size()};  // messages accepted, by tenant
  DoublingLimit idle_limit{kIdleLimitDoubling};                    // the idle age trusted
  DecayedFailureCount idle_calls = {}, active_calls = {};  // calls on connections that had been idle; others
  std::vector<double> keep_alive = std::vector(settings.kinds.size(), 1.0);  // by kind, of the usual time
  std::map<std::string, Endpoint*> idle_endpoints = {};                      // may have idle connections

  void WakeBy(Time time) {
    if (time > now) wake_at = std::min(wake_at, time);
  }
  void Emit(Action action) { actions->push_back(std::move(action)); }
  bool WasAtCallLimit() const { return now < call_limit_reached_at + kCallLimitMemory; }
};

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_POLICY_STATE_H_
