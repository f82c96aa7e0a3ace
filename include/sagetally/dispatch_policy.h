// The interface of sagetally: settings, events, actions and the Sender that turns the ones into the others.
// Values only; every decision is in src/policy/dispatch_policy.cpp.
//
// Contract. One Sender serves one delivery node; it is used by one thread at a time and shares nothing with
// other instances. The host calls Step whenever events have come in or a Wake it was asked for is due, hands
// over all events since the last call in the order they came, and carries out the actions in the order given.
// All strings are the host's own ids and come back as received. The host owns sockets, timers and messages.
//
// A host that breaks the contract gets defined behaviour: an outcome for an unknown message or attempt, an
// id taken twice while held, a probe never asked for and a withdrawal of an unknown message are ignored; a
// clock that goes back stands still; a class or kind out of range throws std::invalid_argument.
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
using Time = std::chrono::microseconds;  // since any fixed moment of the host's choice; moves forward only

enum class Idempotency {
  kIdempotent,
  kIdempotentWithKey,
  kNotIdempotent
};  // what repeating a message does: nothing, dropped by key, twice
enum class KeyScope { kAll, kZone, kEndpoint };  // which endpoints of a destination drop a repeated key

struct ClassSettings {
  Duration latency_objective{0};      // delivered within this, a message earns its whole worth
  Duration deadline{0};               // from when the client first handed it in until it is worthless
  double priority_weight = 1.0;       // of a message delivered within its aim
  double late_weight_fraction = 0.0;  // share of the worth that is left at the deadline
  Idempotency idempotency = Idempotency::kNotIdempotent;
  KeyScope key_scope = KeyScope::kAll;  // keyed classes
  Duration deduplication_window{0};     // keyed classes: how long the destination remembers a key
  bool ordered_by_key = false;          // messages with one key go one at a time, as taken
};

struct DestinationKindSettings {
  bool per_endpoint_limits = false;  // each endpoint has a limit, pace and outages of its own
  int max_batch_size = 1;            // messages that may share one call
};

enum class AdvertisedRates {
  kNone,
  kExact,
  kApproximate
};                                                 // what EndpointEntry::rate holds; kRough: up to half off
enum class LateWeightDecay { kLinear, kHalving };  // how worth falls after the aim, down to late_share

struct TenantSettings {
  double service_fraction = 0.0;  // of the service, allotted; stated for hosts, no decision rests on it
  double quota_per_second = 0;    // messages a second within its share, over all senders; 0: no share set
};

struct Settings {
  std::vector<ClassSettings> classes = {};
  std::vector<DestinationKindSettings> kinds = {};
  std::vector<TenantSettings> tenants = {};
  double over_quota_weight = 1.0;  // of a message past its tenant's share, as a part of its class's worth
  AdvertisedRates advertised_rates = AdvertisedRates::kExact;
  LateWeightDecay late_weight_decay = LateWeightDecay::kLinear;
  bool hedging_allowed = false;  // a second attempt may be out where the class is safe
  double rejection_price = 0.0;  // for calls refused above a limit
  int dispatcher_count = 1;      // delivery nodes in all
  int dispatcher_index = 0;      // this one's number among them, from 0
  int zone = 0;                  // this node's
  int max_concurrent_calls = 1;  // calls out at once
  int max_pending_messages = 1;
  int max_attempts = 1;                // for one message
  int max_streams_per_connection = 1;  // calls that one connection carries at once
  bool health_checks_allowed = false;
  bool cancellation_allowed = false;      // a call may be given up before its time-out
  bool retry_after_allowed = false;       // a refusal may tell the client when to come back
  bool endpoint_list_on_request = false;  // the list of endpoints comes only after Track
  Duration max_client_retry_after{0};
  Duration connection_idle_timeout{0};   // an idle connection closes after this
  std::vector<double> zone_prices = {};  // price of one message taken on by a route apart, by zone
  double handshake_price = 0.0;
  double cross_zone_price = 0.0;
  Duration response_slack{0};
  Duration max_poll_interval{0};        // list_on_request: longest stretch without asking or being subscribed
  double cold_capacity_fraction = 1.0;  // of its capacity that a destination has after an outage
  double overload_multiple = 1.0;       // more than this times its capacity ...
  Duration overload_duration{0};        // ... for so long pushes a cold destination over
  Duration warm_up_time{0};
  Duration key_quiet_time{0};  // rest of a key after an attempt that may still run
};

enum class Outcome {
  kOk = 0,
  kError = 1,          // may have run
  kRejected = 2,       // never ran
  kTimeout = 3,        // may have run, may still
  kConnectFailed = 4,  // never ran
  kReset = 5,          // may have run
  kCancelled = 6,      // may have run
  kNotSent = 7         // never left the sender
};

// Whether an attempt that ended so may run later still: nobody has seen its end.
constexpr bool MayStillRun(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

struct LoadReport {
  double quota_left = 0.0;  // share of the limit left
  double rate_limit = 0.0;  // calls a second, 0 where there is none or nothing was reported
};

struct EndpointRecord {
  std::string endpoint = {};
  int destination = 0;
  int zone = 0;
  int kind = 0;
  double rate = 0.0;  // calls a second the destination (or route) takes from all senders, as Settings::rates
                      // says; 0: not told
  enum class State { kUp, kDraining, kRemoved } state = State::kUp;
};

// Events.
struct EndpointListUpdated {
  enum class Kind { kDelta, kFullSnapshot, kFailed } kind = Kind::kDelta;
  bool is_cached = false;  // with kWhole: what the node held last, answers no Track
  std::vector<EndpointRecord> endpoints = {};
};
struct MessageAccepted {  // a message is now owed one final answer
  std::string id = {};
  int destination = 0;
  int message_class = 0;
  Duration time_left{0};
  std::string key = {};  // empty: none
  int tenant = 0;        // index into Settings::tenants; ignored where there are none
  // What is known of a message that a host held before it was started again.
  int attempts = 0;                                  // made so far
  std::optional<Time> first_uncertain_attempt = {};  // send time of the earliest attempt that may have run
  std::string first_uncertain_endpoint = {};         // the endpoint it went to
  // Its last attempt is out there now, sent at the time of this step; empty: none is.
  std::string in_flight_endpoint = {};
};
struct AttemptCompleted {
  std::string id = {};
  int attempt = 0;  // counts from 0 for each message
  Outcome outcome = Outcome::kOk;
  bool message_ended = false;  // the message has ended, by this or earlier; no answer is owed any more
  Duration latency{0};
  Duration retry_after{0};  // kFull: send nothing there before; 0 if not told
  LoadReport load_report = {};
};
struct HealthCheckCompleted {
  std::string endpoint = {};
  Outcome outcome = Outcome::kOk;
  Duration latency{0};
  LoadReport load_report = {};
};
struct MessageWithdrawn {  // nobody wants it any more; no answer is owed
  std::string id = {};
};
struct TimerFired {};
struct GossipReceived {
  int dispatcher_index = 0;
  std::string body = {};
};
struct ShutdownStarted {  // the host ends after `left` and hands on what it holds to the next start
  Duration time_left{0};
};
using Event = std::variant<EndpointListUpdated, MessageAccepted, AttemptCompleted, HealthCheckCompleted,
                           MessageWithdrawn, TimerFired, GossipReceived, ShutdownStarted>;

// Actions.
struct StartAttempt {  // sends to one endpoint in one Step share calls, as far as the kind's batch_max allows
  std::string id = {};
  std::string endpoint = {};
  Duration timeout{0};
};
struct RejectMessage {  // final: handing it in again is harmless
  std::string id = {};
  Duration retry_after{0};
};
struct FailMessage {  // final: promises nothing
  std::string id = {};
};
struct CancelAttempt {
  std::string id = {};
  int attempt = 0;
};
struct CancelIfUnsent {  // a wait was told: give the call up if its last byte has not left (kMoot), else let
                         // it be
  std::string id = {};
  int attempt = 0;
};
struct StartHealthCheck {  // not asked for at present: calls that may be sent tell as much
  std::string endpoint = {};
};
struct CloseIdleConnections {
  std::string endpoint = {};
};
struct ScheduleTimer {  // call Step again after this, with WakeDue
  Duration delay{0};
};
struct SubscribeEndpointList {  // subscribe to changes of the list, answered by one ListChanged
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

class DispatchPolicy {
 public:
  // Throws std::invalid_argument, naming the setting, if the settings cannot be.
  DispatchPolicy(Settings settings, std::uint64_t seed);
  ~DispatchPolicy();
  DispatchPolicy(DispatchPolicy&&) noexcept;
  DispatchPolicy& operator=(DispatchPolicy&&) noexcept;

  // Takes in all events, decides once, and appends to `actions`.
  void Process(Time now, std::span<const Event> events, std::vector<Action>& actions);
  // Endpoints in the list that get no usual traffic: draining, or in an outage that was seen.
  int AvoidedEndpointCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sagetally

#endif  // SAGETALLY_DISPATCH_POLICY_H_
