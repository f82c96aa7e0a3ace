// The interface of the dispatch policy: settings, events, actions, and the class DispatchPolicy, which turns
// events into actions. The policy takes and returns plain values: it does no I/O, reads no clock and starts
// no threads. Its implementation is in src/policy.
//
// One DispatchPolicy serves one dispatcher. It is used by one thread at a time and shares nothing with other
// instances. The program that runs it is called the host. The host owns the sockets, the timers and the
// messages. It calls Process whenever events have come in or a timer that the policy asked for has fired,
// passes all events since the last call in the order in which they occurred, and carries out the actions in
// the order given. Message ids, endpoint ids and ordering keys are strings that the host chooses; the policy
// returns them unchanged.
//
// A host that breaks this contract gets defined behaviour. The policy ignores an outcome for an unknown
// message or attempt, an id that is accepted again while the message is pending or an attempt for it is in
// flight, the result of any health check, and the withdrawal of an unknown message. If the clock goes back,
// the policy goes on with the latest time that it was given. A class or kind out of range throws
// std::invalid_argument.
#ifndef SAGETALLY_DISPATCH_POLICY_H_
#define SAGETALLY_DISPATCH_POLICY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace sagetally {

using Duration = std::chrono::microseconds;
// Time since a fixed moment that the host chooses. It never goes back.
using Time = std::chrono::microseconds;

// What a destination does if it gets the same message again.
enum class Idempotency {
  // Repeating the message has no further effect.
  kIdempotent,
  // The destination drops the repetition by its idempotency key, within ClassSettings::deduplication_window.
  kIdempotentWithKey,
  // The destination handles the message twice.
  kNotIdempotent
};

// Which endpoints of a destination drop a repeated idempotency key: all of them, those in the zone of the
// endpoint that first got the key, or only that endpoint.
enum class KeyScope { kAll, kZone, kEndpoint };

// The delivery requirements of the messages of one class.
struct ClassSettings {
  // A message that is delivered within this time has its full weight. Positive.
  Duration latency_objective{0};
  // Time from when the client first handed the message in until the message has no weight. Positive.
  Duration deadline{0};
  // Weight of a message that is delivered within its latency objective. 0 or more.
  double priority_weight = 1.0;
  // Fraction of the weight that is left at the deadline, 0 to 1.
  double late_weight_fraction = 0.0;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  // Only for kIdempotentWithKey: which endpoints drop a repeated key.
  KeyScope key_scope = KeyScope::kAll;
  // Only for kIdempotentWithKey: how long the destination remembers an idempotency key.
  Duration deduplication_window{0};
  // Messages with the same ordering key are sent one at a time, in the order accepted.
  bool ordered_by_key = false;
};

// Settings of one kind of destination. A kind is identified by its index in Settings::kinds.
struct DestinationKindSettings {
  // Each endpoint has its own rate limit, pace and outages; otherwise the endpoints of a destination share
  // them.
  bool per_endpoint_limits = false;
  // How many messages may share one call. Positive.
  int max_batch_size = 1;
};

// What EndpointRecord::rate holds.
enum class AdvertisedRates {
  kNone,        // nothing usable; the policy ignores it
  kExact,       // the rate limit
  kApproximate  // the rate limit with an error of up to half of it
};

// How a message's weight falls between its latency objective and its deadline, down to late_weight_fraction.
enum class LateWeightDecay { kLinear, kHalving };

struct TenantSettings {
  // The fraction of the service that is allotted to the tenant. It is there for hosts; the policy does not
  // use it.
  double service_fraction = 0.0;
  // Messages a second from all dispatchers together. 0: the tenant has no quota.
  double quota_per_second = 0;
};

// The settings of one policy.
struct Settings {
  // Message classes, at least one.
  std::vector<ClassSettings> classes = {};
  // Kinds of destinations, at least one.
  std::vector<DestinationKindSettings> kinds = {};
  // Tenants. If there are none, no tenant has a quota.
  std::vector<TenantSettings> tenants = {};
  // Fraction of its weight that a message beyond its tenant's quota keeps.
  double over_quota_weight = 1.0;
  AdvertisedRates advertised_rates = AdvertisedRates::kExact;
  // How the weight of late messages falls. Not used by the policy.
  LateWeightDecay late_weight_decay = LateWeightDecay::kLinear;
  // Whether a second attempt (a hedged request) may be in flight where the class is idempotent. The policy
  // never sends one.
  bool hedging_allowed = false;
  // Price of a call that is rejected above a rate limit, in units of priority weight. Not used by the policy.
  double rejection_price = 0.0;
  // Number of all dispatchers. Positive.
  int dispatcher_count = 1;
  // Index of this dispatcher, from 0. Not used by the policy.
  int dispatcher_index = 0;
  // Zone of this dispatcher.
  int zone = 0;
  // Maximum number of calls of this dispatcher in flight. Positive.
  int max_concurrent_calls = 1;
  // Maximum number of messages that are accepted and have no final answer yet. Positive.
  int max_pending_messages = 1;
  // Maximum number of attempts for one message. Positive.
  int max_attempts = 1;
  // Calls that one connection carries at a time. Positive.
  int max_streams_per_connection = 1;
  // Whether health checks may be started. The policy starts none.
  bool health_checks_allowed = false;
  // Whether an attempt may be cancelled before its timeout.
  bool cancellation_allowed = false;
  // Whether RejectMessage may say when the client should retry.
  bool retry_after_allowed = false;
  // Whether the host carries out SendGossip. A gossip message reaches the other dispatchers or is lost.
  bool gossip_allowed = false;
  // The endpoint list comes only after SubscribeEndpointList.
  bool endpoint_list_on_request = false;
  // Longest RejectMessage::retry_after.
  Duration max_client_retry_after{0};
  // A connection that has been idle for this long is closed.
  Duration connection_idle_timeout{0};
  // By zone: price of a message to an endpoint that has its own limits (per_endpoint_limits).
  std::vector<double> zone_prices = {};
  // Price of a new connection.
  double handshake_price = 0.0;
  // Price of a call to another zone.
  double cross_zone_price = 0.0;
  // How long after a message's deadline its final answer still counts as in time. Not used by the policy.
  Duration response_slack{0};
  // With endpoint_list_on_request: longest time without a list or a subscription. Not used by the policy.
  Duration max_poll_interval{0};
  // Fraction of its capacity that a destination has at the end of an outage. Positive.
  double cold_capacity_fraction = 1.0;
  // A destination that warms up fails again if it gets more than overload_multiple times its capacity for
  // overload_duration.
  double overload_multiple = 1.0;
  Duration overload_duration{0};
  // Time from the end of an outage until a destination has its full capacity again.
  Duration warm_up_time{0};
  // After an attempt that may still run, no message with its ordering key is sent for this time.
  Duration key_quiet_time{0};
};

// How an attempt ended. The numbers are used on the wire.
enum class Outcome {
  kOk = 0,
  kError = 1,          // an error answer; the message may have run
  kRejected = 2,       // the message never ran
  kTimeout = 3,        // the message may have run, or may still run
  kConnectFailed = 4,  // the message never ran
  kReset = 5,          // the message may have run, or may still run
  kCancelled = 6,      // the message may have run, or may still run
  kNotSent = 7         // the message never left the dispatcher
};

// Returns whether a message whose attempt ended with `outcome` may still run later, because the dispatcher
// did not see the end of the call.
constexpr bool MayStillRun(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

// What an answer says about the load of a destination.
struct LoadReport {
  // Fraction of the rate limit that is left. Not used by the policy.
  double quota_left = 0.0;
  // Rate limit in calls a second. 0: there is none, or it was not reported.
  double rate_limit = 0.0;
};

// One endpoint of the endpoint list.
struct EndpointRecord {
  // Id of the endpoint.
  std::string endpoint = {};
  int destination = 0;
  int zone = 0;
  // Index into Settings::kinds.
  int kind = 0;
  // Calls a second that the destination takes from all dispatchers together, or that the endpoint takes if it
  // has its own limits (per_endpoint_limits). Settings::advertised_rates says how exact it is. 0: not
  // advertised.
  double rate = 0.0;
  enum class State { kUp, kDraining, kRemoved } state = State::kUp;
};

// Events.

// The host got the endpoint list (kFullSnapshot) or a change of it (kDelta), or failed to get it (kFailed).
struct EndpointListUpdated {
  enum class Kind { kDelta, kFullSnapshot, kFailed } kind = Kind::kDelta;
  // Only for kFullSnapshot: this is the last list that the host had, not the answer to a
  // SubscribeEndpointList.
  bool is_cached = false;
  std::vector<EndpointRecord> endpoints = {};
};

// The host has accepted a message. From now on exactly one final answer to it is outstanding.
struct MessageAccepted {
  std::string id = {};
  int destination = 0;
  // Index into Settings::classes.
  int message_class = 0;
  // Time until the deadline.
  Duration time_left{0};
  // Ordering key; empty if the message has none.
  std::string key = {};
  // Index into Settings::tenants. Ignored if it is out of range.
  int tenant = 0;
  // Attempts so far. This field and those below are the history of a message that the host already had before
  // it was restarted.
  int attempts = 0;
  // Send time of the earliest attempt that may have run.
  std::optional<Time> first_uncertain_attempt = {};
  // The endpoint of that attempt.
  std::string first_uncertain_endpoint = {};
  // The endpoint at which the last attempt is in flight; empty if none is. The attempt counts as sent at the
  // time of this call of Process.
  std::string in_flight_endpoint = {};
};

// An attempt has ended.
struct AttemptCompleted {
  // Id of the message.
  std::string id = {};
  // Number of the attempt, counted from 0 for each message.
  int attempt = 0;
  Outcome outcome = Outcome::kOk;
  // The message has ended, with this attempt or before: no answer to it is outstanding any more.
  bool message_ended = false;
  Duration latency{0};
  // Only for kRejected: nothing may be sent there for this time. 0: not given.
  Duration retry_after{0};
  LoadReport load_report = {};
};

// The endpoint has asked for a pause in an answer of which it is not certain yet that it belongs to this
// attempt. The pause is kept, and the attempt goes on until its AttemptCompleted.
struct RetryAfterReceived {
  // Id of the message.
  std::string id = {};
  // Number of the attempt, counted from 0 for each message.
  int attempt = 0;
  // Nothing may be sent there for this time.
  Duration retry_after{0};
};

// A health check has ended. The policy ignores it.
struct HealthCheckCompleted {
  std::string endpoint = {};
  Outcome outcome = Outcome::kOk;
  Duration latency{0};
  LoadReport load_report = {};
};

// Nobody wants the message any more: no answer to it is outstanding.
struct MessageWithdrawn {
  std::string id = {};
};

// The timer of the last ScheduleTimer has fired.
struct TimerFired {};

// Gossip of another dispatcher has arrived.
struct GossipReceived {
  // Index of the dispatcher that sent it.
  int dispatcher_index = 0;
  std::string body = {};
};

// The host shuts down after `time_left` and hands the messages that are then pending to the next process.
struct ShutdownStarted {
  Duration time_left{0};
};

using Event =
    std::variant<EndpointListUpdated, MessageAccepted, AttemptCompleted, RetryAfterReceived,
                 HealthCheckCompleted, MessageWithdrawn, TimerFired, GossipReceived, ShutdownStarted>;

// Actions.

// Sends a message to an endpoint. The attempts that one call of Process starts at one endpoint share calls,
// up to max_batch_size messages a call.
struct StartAttempt {
  std::string id = {};
  std::string endpoint = {};
  Duration timeout{0};
};

// Gives the final answer that the message was rejected. The client may safely hand it in again.
struct RejectMessage {
  std::string id = {};
  // When the client should retry. 0: not given.
  Duration retry_after{0};
};

// Gives the final answer that the message failed. It may have been delivered.
struct FailMessage {
  std::string id = {};
};

// Cancels an attempt in flight. It still ends with an AttemptCompleted.
struct CancelAttempt {
  std::string id = {};
  int attempt = 0;
};

// Cancels an attempt whose last byte has not been sent yet, because the destination asked for a pause. The
// attempt then ends with kNotSent. Does nothing if the last byte has been sent.
struct CancelIfUnsent {
  std::string id = {};
  int attempt = 0;
};

// Starts a health check. The policy never asks for one, because the calls that it may send show as much.
struct StartHealthCheck {
  std::string endpoint = {};
};

// Closes all idle connections to an endpoint.
struct CloseIdleConnections {
  std::string endpoint = {};
};

// Asks for a TimerFired after `delay`.
struct ScheduleTimer {
  Duration delay{0};
};

// Subscribes to changes of the endpoint list. The host answers with one EndpointListUpdated that is not
// cached.
struct SubscribeEndpointList {
  bool enabled = true;
};

// Fetches the endpoint list once. The policy never asks for it.
struct FetchEndpointList {};

// Sends gossip to all other dispatchers.
struct SendGossip {
  std::string body = {};
};

// Writes a line to the host's log.
struct WriteLogLine {
  std::string line = {};
};

using Action = std::variant<StartAttempt, RejectMessage, FailMessage, CancelAttempt, CancelIfUnsent,
                            StartHealthCheck, CloseIdleConnections, ScheduleTimer, SubscribeEndpointList,
                            FetchEndpointList, SendGossip, WriteLogLine>;

// Decides when and to which endpoint each message is sent, which messages are given up, and how fast each
// destination is called.
class DispatchPolicy {
 public:
  // Throws std::invalid_argument, which names the setting, if a setting is out of range. The same seed and
  // the same events give the same actions.
  DispatchPolicy(Settings settings, std::uint64_t seed);
  ~DispatchPolicy();
  DispatchPolicy(DispatchPolicy&&) noexcept;
  DispatchPolicy& operator=(DispatchPolicy&&) noexcept;

  // Takes in all events, decides once, and appends the actions to `actions`. Throws std::invalid_argument if
  // an event has a class or kind out of range.
  void Process(Time now, std::span<const Event> events, std::vector<Action>& actions);
  // Number of endpoints in the list that do not get their usual traffic because they are draining or ejected
  // as outliers.
  int AvoidedEndpointCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sagetally

#endif  // SAGETALLY_DISPATCH_POLICY_H_
