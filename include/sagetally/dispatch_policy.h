// The interface of the dispatch policy: settings, events, actions, and DispatchPolicy, which turns events
// into actions. Values only: the policy does no I/O, reads no clock and starts no threads. Its implementation
// is in src/policy.
//
// One DispatchPolicy serves one dispatcher. It is used by one thread at a time and shares nothing with other
// instances. The host calls Process whenever events have come in or a timer that it was asked for has fired,
// hands over all events since the last call in the order in which they came, and carries out the actions in
// the order given. All strings are ids of the host and come back as received. The host owns sockets, timers
// and messages.
//
// A host that breaks the contract gets defined behaviour. Ignored are: an outcome for an unknown message or
// attempt, an id accepted twice while the message is pending, the result of a health check never asked for,
// and the withdrawal of an unknown message. A clock that goes back stands still. A class or kind out of range
// throws std::invalid_argument.
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
using Time = std::chrono::microseconds;  // since any fixed moment of the host's choice; never goes back

// What a destination does if it gets the same message again.
enum class Idempotency {
  kIdempotent,         // nothing
  kIdempotentWithKey,  // drops it by its key, within ClassSettings::deduplication_window
  kNotIdempotent       // handles it twice
};

// Which endpoints of a destination drop a repeated key.
enum class KeyScope { kAll, kZone, kEndpoint };

// What the messages of one class are due.
struct ClassSettings {
  Duration latency_objective{0};  // a message delivered within this has its full weight; positive
  Duration deadline{0};           // from when the client first handed it in until it has no weight; positive
  double priority_weight = 1.0;   // weight of a message delivered within its latency objective; 0 or more
  double late_weight_fraction = 0.0;  // fraction of the weight that is left at the deadline, 0 to 1
  Idempotency idempotency = Idempotency::kNotIdempotent;
  KeyScope key_scope = KeyScope::kAll;  // kIdempotentWithKey only
  Duration deduplication_window{0};     // kIdempotentWithKey only: how long the destination remembers a key
  bool ordered_by_key = false;          // messages with one key go one at a time, in the order accepted
};

// A kind of destination, by its index in Settings::kinds.
struct DestinationKindSettings {
  bool per_endpoint_limits = false;  // each endpoint has a rate limit, a pace and outages of its own
  int max_batch_size = 1;            // messages that may share one call; positive
};

// What EndpointRecord::rate holds.
enum class AdvertisedRates {
  kNone,        // nothing: ignored
  kExact,       // the rate limit
  kApproximate  // the rate limit, up to half of it off
};

// How a message's weight falls between its latency objective and its deadline, down to late_weight_fraction.
enum class LateWeightDecay { kLinear, kHalving };

struct TenantSettings {
  double service_fraction = 0.0;  // allotted fraction of the service; for hosts, no decision rests on it
  double quota_per_second = 0;    // messages a second from all dispatchers together; 0: no quota
};

struct Settings {
  std::vector<ClassSettings> classes = {};          // at least one
  std::vector<DestinationKindSettings> kinds = {};  // at least one
  std::vector<TenantSettings> tenants = {};         // may be empty: no tenant has a quota
  double over_quota_weight = 1.0;                   // of a message beyond its tenant's quota, as a fraction
  AdvertisedRates advertised_rates = AdvertisedRates::kExact;
  LateWeightDecay late_weight_decay = LateWeightDecay::kLinear;
  bool hedging_allowed = false;        // a second attempt may be in flight where the class is idempotent
  double rejection_price = 0.0;        // of a call rejected above a limit, in weights
  int dispatcher_count = 1;            // in all; positive
  int dispatcher_index = 0;            // of this dispatcher, from 0
  int zone = 0;                        // of this dispatcher
  int max_concurrent_calls = 1;        // in flight; positive
  int max_pending_messages = 1;        // accepted and without a final answer; positive
  int max_attempts = 1;                // for one message; positive
  int max_streams_per_connection = 1;  // calls that one connection carries at once; positive
  bool health_checks_allowed = false;
  bool cancellation_allowed = false;      // an attempt may be cancelled before its timeout
  bool retry_after_allowed = false;       // a rejection may say when to come back
  bool gossip_allowed = false;            // SendGossip reaches the other dispatchers, or is lost
  bool endpoint_list_on_request = false;  // the list of endpoints comes only after SubscribeEndpointList
  Duration max_client_retry_after{0};     // longest RejectMessage::retry_after
  Duration connection_idle_timeout{0};    // an idle connection closes after this
  std::vector<double> zone_prices = {};   // by zone: price of a message to an endpoint with limits of its own
  double handshake_price = 0.0;           // of a new connection
  double cross_zone_price = 0.0;          // of a call to another zone
  Duration response_slack{0};
  Duration max_poll_interval{0};  // endpoint_list_on_request: longest time without a list or a subscription
  double cold_capacity_fraction =
      1.0;  // fraction of its capacity that a destination has after an outage; positive
  double overload_multiple = 1.0;  // more than this times its capacity ...
  Duration overload_duration{0};   // ... for so long makes a destination that warms up fail again
  Duration warm_up_time{0};        // from the end of an outage to full capacity
  Duration key_quiet_time{0};      // pause of an ordering key after an attempt that may still run
};

// How an attempt ended. The numbers are used on the wire.
enum class Outcome {
  kOk = 0,
  kError = 1,          // may have run
  kRejected = 2,       // never ran
  kTimeout = 3,        // may have run, may run still
  kConnectFailed = 4,  // never ran
  kReset = 5,          // may have run
  kCancelled = 6,      // may have run
  kNotSent = 7         // never left the dispatcher
};

// Whether an attempt that ended so may run later still: nobody has seen its end.
constexpr bool MayStillRun(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

// What an answer says about the load of a destination.
struct LoadReport {
  double quota_left = 0.0;  // fraction of the rate limit that is left
  double rate_limit = 0.0;  // calls a second; 0: none, or not reported
};

// One endpoint of the list.
struct EndpointRecord {
  std::string endpoint = {};  // its id
  int destination = 0;
  int zone = 0;
  int kind = 0;       // index into Settings::kinds
  double rate = 0.0;  // calls a second that the destination (or endpoint, see DestinationKindSettings) takes
                      // from all dispatchers, as Settings::advertised_rates says; 0: not advertised
  enum class State { kUp, kDraining, kRemoved } state = State::kUp;
};

// Events.

// The list of endpoints, a change of it, or that it could not be had.
struct EndpointListUpdated {
  enum class Kind { kDelta, kFullSnapshot, kFailed } kind = Kind::kDelta;
  bool is_cached = false;  // kFullSnapshot: what the host had last; answers no SubscribeEndpointList
  std::vector<EndpointRecord> endpoints = {};
};

// The host has accepted a message, which is owed one final answer from now on.
struct MessageAccepted {
  std::string id = {};
  int destination = 0;
  int message_class = 0;  // index into Settings::classes
  Duration time_left{0};  // until its deadline
  std::string key = {};   // ordering key; empty: none
  int tenant = 0;         // index into Settings::tenants; ignored where there are none
  // What is known of a message that the host had before it was restarted.
  int attempts = 0;                                  // made so far
  std::optional<Time> first_uncertain_attempt = {};  // send time of the earliest attempt that may have run
  std::string first_uncertain_endpoint = {};         // the endpoint it went to
  std::string in_flight_endpoint =
      {};  // where its last attempt is in flight, sent at the time of this run; empty: none
};

struct AttemptCompleted {
  std::string id = {};  // of the message
  int attempt = 0;      // counts from 0 for each message
  Outcome outcome = Outcome::kOk;
  bool message_ended = false;  // the message has ended, by this or earlier: it is owed no answer any more
  Duration latency{0};
  Duration retry_after{0};  // kRejected: send nothing there before; 0: not given
  LoadReport load_report = {};
};

struct HealthCheckCompleted {
  std::string endpoint = {};
  Outcome outcome = Outcome::kOk;
  Duration latency{0};
  LoadReport load_report = {};
};

// Nobody wants the message any more: it is owed no answer.
struct MessageWithdrawn {
  std::string id = {};
};

// The timer of the last ScheduleTimer has fired.
struct TimerFired {};

struct GossipReceived {
  int dispatcher_index = 0;  // of the dispatcher that sent it
  std::string body = {};
};

// The host ends after `time_left` and hands what is pending then to the next process.
struct ShutdownStarted {
  Duration time_left{0};
};

using Event = std::variant<EndpointListUpdated, MessageAccepted, AttemptCompleted, HealthCheckCompleted,
                           MessageWithdrawn, TimerFired, GossipReceived, ShutdownStarted>;

// Actions.

// Sends a message. Attempts to one endpoint in one run share calls, up to the kind's max_batch_size.
struct StartAttempt {
  std::string id = {};
  std::string endpoint = {};
  Duration timeout{0};
};

// A final answer: handing the message in again is harmless.
struct RejectMessage {
  std::string id = {};
  Duration retry_after{0};  // 0: not given
};

// A final answer that promises nothing: the message may have been delivered.
struct FailMessage {
  std::string id = {};
};

// Gives up an attempt in flight. It ends with an AttemptCompleted all the same.
struct CancelAttempt {
  std::string id = {};
  int attempt = 0;
};

// The destination asked for a pause: gives up an attempt whose last byte has not left (kNotSent), else does
// nothing.
struct CancelIfUnsent {
  std::string id = {};
  int attempt = 0;
};

// Not asked for at present: calls that may be sent tell as much.
struct StartHealthCheck {
  std::string endpoint = {};
};

struct CloseIdleConnections {
  std::string endpoint = {};
};

// Asks for a TimerFired after `delay`.
struct ScheduleTimer {
  Duration delay{0};
};

// Subscribes to changes of the list of endpoints. Answered by one EndpointListUpdated that is not cached.
struct SubscribeEndpointList {
  bool enabled = true;
};

struct FetchEndpointList {};

struct SendGossip {
  std::string body = {};
};

struct WriteLogLine {
  std::string line = {};
};

using Action = std::variant<StartAttempt, RejectMessage, FailMessage, CancelAttempt, CancelIfUnsent,
                            StartHealthCheck, CloseIdleConnections, ScheduleTimer, SubscribeEndpointList,
                            FetchEndpointList, SendGossip, WriteLogLine>;

// Decides which messages go out when and where, which are given up, and how fast each destination is called.
class DispatchPolicy {
 public:
  // Throws std::invalid_argument, naming the setting, if a setting is out of range. The same seed and events
  // give the same actions.
  DispatchPolicy(Settings settings, std::uint64_t seed);
  ~DispatchPolicy();
  DispatchPolicy(DispatchPolicy&&) noexcept;
  DispatchPolicy& operator=(DispatchPolicy&&) noexcept;

  // Takes in all events, decides once, and appends to `actions`. Throws std::invalid_argument if an event has
  // a class or kind out of range.
  void Process(Time now, std::span<const Event> events, std::vector<Action>& actions);
  // Endpoints in the list that get no usual traffic: draining, or ejected as outliers.
  int AvoidedEndpointCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sagetally

#endif  // SAGETALLY_DISPATCH_POLICY_H_
