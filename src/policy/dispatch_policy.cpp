// Every decision of sagetally. The interface (settings, events, actions) is
// include/sagetally/dispatch_policy.h. Read top to bottom: constants, state, events, estimates, release,
// relegation, pace, health, guards. The mechanism is NIYAMA's (the design page): P = arrival + aim + alpha x
// expected call time, lowest P leaves first; what would miss its aim is relegated, lower worth first; what
// cannot arrive any more is refused.
#include "sagetally/dispatch_policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>

namespace sagetally {
namespace {

using std::chrono::milliseconds, std::chrono::seconds;

// Estimates. An average forgets at 1/kMemory a sample: recent enough to follow a slowdown within ten calls.
constexpr double kLatencyWindow = 12.0;
constexpr double kGlobalLatencyWeight =
    4.0;  // the sender-wide average counts as so many samples of a destination
// Alpha is 1 plus this times the share of held messages that are relegated (the overload seen locally).
constexpr double kRelegationGain = 3.0;
// Time-outs: so many expected calls, and never under the class's aim; unsafe messages wait longer.
constexpr double kTimeoutExpectedCalls = 3.0;
constexpr double kTimeoutObjectives =
    1.2;  // where all is well; one aim at a suspect, for the sake of the slot
constexpr double kNotIdempotentTimeoutFactor = 2.0;
constexpr double kTimeoutObjectivesAtCallLimit =
    0.3;  // while slots bind: calls never answered hold them from the others
constexpr Duration kCallLimitMemory = seconds(2);
constexpr double kDecreaseFactor = 0.5;        // pace, of the rate before
constexpr double kMinEvenShareFraction = 0.8;  // of an even split of the told rate
constexpr double kMinAssumedRate = 2.0;        // calls a second that a limit is taken for where none is told
// A success adds a share of the rate by the time since the last; doubling balances at half refused.
constexpr double kMinIncrease = 0.03, kIncreasePerSecond = 0.1, kMaxIncrease = 0.25;
constexpr double kBurstSeconds = 0.3;  // tokens a bucket holds, in seconds of its rate
// Health: `doubt` moves to 1 by these on a failure and to 0 on a success.
constexpr double kHardFailureWeight = 0.5;   // no answer or no connection
constexpr double kSoftFailureWeight = 0.25;  // an error answer, a reset: single ones are everyday
constexpr double kSuccessWeight = 0.3;       // three or four successes make a suspect well again
constexpr double kSuspectThreshold = 0.3;    // above: no unsafe messages, short rein
// Above: an outage. Two hard failures in a row, but not two with a success between: those are everyday.
constexpr double kEjectionThreshold = 0.7;
constexpr Duration kHalfOpenInterval =
    milliseconds(1000);                              // the end of an outage must not go unseen for long
constexpr Duration kMinOverdue = milliseconds(300);  // short pauses are no silence
constexpr double kOverdueExpectedCalls = 2.0;        // a call out for so many expected times is overdue
constexpr int kOvertakenByCalls = 2,
              kOvertakenExpectedCalls = 2;  // answered calls sent later; expected times
constexpr double kSuspectCallFraction = 0.2,
                 kAllSuspectsCallFraction = 0.4;  // of the slots, for one and for all
// A younger idle connection is sound; a failed call halves the age trusted, which doubles again in:
constexpr Duration kFreshIdleAge = milliseconds(200);
constexpr double kIdleLimitDoublingSeconds = 30.0;  // seconds
// Idleness is blamed once idle connections fail four times as often as those in use, over a hundred calls.
constexpr double kIdleFailureRatio = 4, kFailureRateDecay = 0.99,
                 kAssumedActiveCalls = 40;  // as if so many in use had failed once
// How long idle connections are kept is cut to a quarter, by kind, by one that fails where all seemed well,
// and grows by each that finds a place: about one in thirty fails while tables are full.
constexpr double kKeepAliveDecrease = 0.25, kKeepAliveIncrease = 1.05, kMinIdleConnections = 4;
constexpr double kTableFullLatencyFraction =
    0.65;                               // of the time of a refusal that told a wait, or of an answer
constexpr double kQueueingPrice = 0.1;  // price of waiting behind one more call at an endpoint
constexpr int kCallLimitQueueing =
    1;  // while slots bind: by so many expected times one more makes a call longer
constexpr double kShedMargin = 0.04;  // of most_held is kept free
constexpr double kEarlyRejectionFraction = 0.7,
                 kEarlyRejectionPrice = 0.3;           // of its time; of the worth of what is returned before
constexpr Duration kMinAnswerTime = milliseconds(15);  // of a deadline, for the final answer to arrive
constexpr double kRecoveryBudgetFraction = 0.85;       // of the fail-back budget, the rest is for chance
// Of the calls that a sender without the failure makes, for one with it: twice as many break the rule
// together, and the shares of an outage's senders add up to 2.4.
constexpr double kUnobservedCalls = 0.8;
constexpr double kRateWindowSeconds = 10;  // over which a usual rate is taken
constexpr int kForgetAfterWarmUps = 3;     // an endpoint gone for so many warm_within is forgotten
constexpr Duration kSubscribeBackoff = milliseconds(500);

struct LatencyEstimate {  // of calls that answered, in microseconds
  double mean = 0, variance = 0, count = 0;
  void Add(double x) {
    count += 1;
    // One stray answer counts as four deviations at most, so that a long tail cannot swing the margin.
    if (count > 8) x = std::min(x, mean + 4 * std::sqrt(variance) + 0.5 * mean);
    const double w = 1.0 / std::min(count, kLatencyWindow), off = x - mean;
    mean += w * off;
    variance = (1 - w) * (variance + w * off * off);
  }
};

struct DecayedRate {  // a second, of late
  double value = 0;
  Time updated_at{0};
  double Of(Time now) const {
    return value * std::exp(static_cast<double>((updated_at - now).count()) / 1e6 / kRateWindowSeconds);
  }
  void Add(Time now) { value = Of(now) + 1 / kRateWindowSeconds, updated_at = now; }
};

struct RateLimitScope {  // what shares one limit: a destination, or a route where routes are apart
  Time retry_after_until{0};
  double advertised_rate = 0;  // calls a second for all senders; 0: not told
  double pace = 0;             // this sender's pace in calls a second; 0: unpaced
  double tokens = 0;
  Time tokens_at{0}, last_decrease_at{-1}, last_increase_at{0};
  DecayedRate answered;  // calls answered
  std::deque<Time> recent_calls;
  int consecutive_rejections = 0, consecutive_connect_failures = 0,
      consecutive_decreases = 0;  // in a row: refusals, failed connections, cuts by a limit
  Time rejected_since{0};
  std::optional<Time> recovering_since;        // held to the fail-back budget since
  std::optional<Time> recovered_at;            // the first call answered since
  double recovery_budget = 0, usual_rate = 0;  // calls that the budget allows now; usual rate
  Time recovery_budget_at{0};
  bool ejected = false;  // an endpoint's breaker opened since
};

struct Endpoint {
  std::string id;
  int destination = 0, zone = 0, kind = 0;
  bool accepts_calls = false;
  RateLimitScope* scope = nullptr;
  int in_flight = 0;
  std::multiset<Time> in_flight_since;
  std::vector<Time> idle_since;               // connections open and idle, the longest idle first
  std::optional<Duration> idle_limit_before;  // a call failed on an idle connection; none ended since
  double failure_score = 0;                   // as of doubt_at; see Doubt
  Time failure_score_at{0};
  bool failure_may_have_run = false;  // what failed last may have run
  bool ejected = false;               // since the breaker opened, until warm
  Time half_open_at{0}, last_success_at{-1};
  bool half_open_attempt = false;
  int consecutive_failures = 0;    // in a row, of calls, without connection or answer
  bool exempted = false;           // answered while another endpoint of the lane was struck
  std::optional<Time> removed_at;  // since when no list names it
};

struct Message;
using Queue = std::map<std::pair<Time, std::uint64_t>, Message*>;  // by arrival, then number

struct Message {
  std::string id;
  std::uint64_t number = 0;
  int destination = 0, message_class = 0, tenant = 0;
  Time accepted_at{0}, arrived_at{0}, objective_at{0}, deadline{0};
  std::string key;
  int attempts = 0;
  bool in_flight = false, ended = false, relegated = false, exempted = false;
  std::uint64_t call_number = 0;
  Time sent_at{0};
  std::optional<Time> first_uncertain_attempt;  // send time of the earliest attempt that may have run
  const Endpoint *uncertain_endpoint = nullptr,
                 *last_endpoint = nullptr;  // where that ran; of the last attempt
  int uncertain_zone = -1;                  // of may_at
};

struct Destination {
  std::vector<Endpoint*> endpoints;
  std::vector<Queue> ready, relegated;  // by class
  int waiting_count = 0;                // messages in all queues
  LatencyEstimate latency;
};

struct OrderingKeyQueue {  // messages of one key, in the order taken
  std::deque<Message*> messages;
  Time quiet_until{0};
};

struct Call {
  Endpoint* endpoint = nullptr;
  Time sent_at{0};
  Duration idle_age{0};  // age of the idle connection it went out on; 0: a new one
  std::vector<Message*> messages = {};
  int overtaken_by = 0;  // by calls sent later to the same endpoint
  bool half_open_attempt = false, outcome_recorded = false, cancelled = false;
  bool table_was_full = false;  // refused without a wait on a new connection: perhaps the table was full
};

void Require(bool fine, const char* what) {
  if (!fine) throw std::invalid_argument(std::string("sagetally settings: ") + what);
}

}  // namespace

class DispatchPolicy::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    Require(!settings_.classes.empty(), "classes is empty");
    Require(!settings_.kinds.empty(), "kinds is empty");
    Require(settings_.dispatcher_count > 0 && settings_.max_concurrent_calls > 0 &&
                settings_.max_pending_messages > 0 && settings_.max_attempts > 0 &&
                settings_.max_streams_per_connection > 0,
            "senders, slots, most_held, max_attempts and multiplex must be positive");
    Require(settings_.cold_capacity_fraction > 0 && settings_.overload_multiple > 0,
            "cold_share and fall_multiple must be positive");
    for (const ClassSettings& c : settings_.classes) {
      Require(c.latency_objective > Duration(0) && c.deadline > Duration(0),
              "aim and deadline must be positive");
      Require(c.priority_weight >= 0, "worth must not be negative");
    }
    for (const DestinationKindSettings& k : settings_.kinds)
      Require(k.max_batch_size > 0, "batch_max must be positive");
    keep_alive_factor_.resize(settings_.kinds.size(), 1.0);
    tenant_usage_.resize(settings_.tenants.size());
  }

  void Process(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    now_ = std::max(now_, now);
    actions_ = &actions;
    wake_at_ = Time::max();
    for (const Event& event : events) std::visit([this](const auto& e) { On(e); }, event);
    SubscribeIfNeeded();
    CancelOvertaken();
    RejectLate();
    Relegate();
    CloseExpiredConnections();
    Release();
    ShedOverflow();  // last: what can leave at once is not shed for what waits
    RemoveExpiredState();
    std::erase_if(active_, [](const auto& at) { return at.second->waiting_count == 0; });
    RequestTimer();
  }

  int AvoidedEndpointCount() const {
    return static_cast<int>(std::ranges::count_if(endpoints_, [](const auto& at) {
      return !at.second.removed_at && (!at.second.accepts_calls || at.second.ejected);
    }));
  }

 private:
  // ---- Events -------------------------------------------------------------------------------------------

  void On(const EndpointListUpdated& event) {
    if (!event.is_cached) subscription_requested_ = false;
    if (event.kind == EndpointListUpdated::Kind::kFailed) {
      is_subscribed_ = false;
      subscribe_at_ = now_ + Jitter(kSubscribeBackoff);
      return;
    }
    if (!event.is_cached) is_subscribed_ = true;
    if (event.kind == EndpointListUpdated::Kind::kFullSnapshot) {
      for (auto& [id, endpoint] : endpoints_) {
        endpoint.accepts_calls = false;
        if (!endpoint.removed_at) endpoint.removed_at = now_;
      }
    }
    for (const EndpointRecord& entry : event.endpoints) {
      if (entry.kind < 0 || entry.kind >= static_cast<int>(settings_.kinds.size())) {
        throw std::invalid_argument("sagetally: kind of endpoint '" + entry.endpoint + "' out of range");
      }
      const auto [at, is_new] = endpoints_.try_emplace(entry.endpoint);
      Endpoint& endpoint = at->second;
      if (is_new) {
        std::tie(endpoint.id, endpoint.destination, endpoint.zone, endpoint.kind) =
            std::tie(entry.endpoint, entry.destination, entry.zone, entry.kind);
        const bool per_endpoint = settings_.kinds[entry.kind].per_endpoint_limits;
        endpoint.scope = &scopes_[{entry.destination, per_endpoint ? entry.endpoint : std::string()}];
        At(entry.destination).endpoints.push_back(&endpoint);
      }
      const bool is_removed = entry.state == EndpointRecord::State::kRemoved;
      if (!is_removed || !endpoint.removed_at)
        endpoint.removed_at = is_removed ? std::optional(now_) : std::nullopt;
      // Drains: an endpoint told as draining or gone gets nothing more from this batch on.
      endpoint.accepts_calls = entry.state == EndpointRecord::State::kUp;
      if (endpoint.accepts_calls && entry.rate > 0 && settings_.advertised_rates != AdvertisedRates::kNone)
        endpoint.scope->advertised_rate = entry.rate;
    }
  }

  void On(const MessageAccepted& event) {
    if (event.message_class < 0 || event.message_class >= static_cast<int>(settings_.classes.size())) {
      throw std::invalid_argument("sagetally: class of message '" + event.id + "' out of range");
    }
    const auto [at, is_new] = messages_.try_emplace(event.id);
    if (!is_new) return;
    Message& message = at->second;
    std::tie(message.id, message.destination, message.message_class, message.tenant) =
        std::tie(event.id, event.destination, event.message_class, event.tenant);
    message.number = next_number_++;
    if (static_cast<std::size_t>(event.tenant) < tenant_usage_.size()) tenant_usage_[event.tenant].Add(now_);
    message.accepted_at = now_, message.deadline = now_ + event.time_left;
    // A message handed over keeps its age, so queues are in order of deadlines. One with less left than its
    // aim is an impatient client's and due at its deadline: taken for old it would step back and starve.
    const ClassSettings& class_settings = settings_.classes[message.message_class];
    message.arrived_at = message.deadline - class_settings.deadline;
    message.objective_at = event.time_left < class_settings.latency_objective
                               ? message.deadline
                               : message.arrived_at + class_settings.latency_objective;
    if (class_settings.ordered_by_key && !event.key.empty()) {
      message.key = event.key;
      ordering_keys_[message.key].messages.push_back(&message);
    }
    ++pending_count_;
    // The history of a message from before a restart binds as if this sender had made the attempts itself.
    message.attempts = event.attempts;
    message.first_uncertain_attempt = event.first_uncertain_attempt;
    const auto ran_at = endpoints_.find(event.first_uncertain_endpoint);
    if (message.first_uncertain_attempt && ran_at != endpoints_.end())
      RecordUncertainEndpoint(message, ran_at->second);
    if (const auto running_at = endpoints_.find(event.in_flight_endpoint); running_at != endpoints_.end()) {
      --message.attempts;                    // counted anew as it is sent
      MaySendTo(running_at->second, false);  // brings pace and budget up to this moment
      ScheduleWindowEnd(message);
      return Dispatch(message, running_at->second);
    }
    if ((message.first_uncertain_attempt && class_settings.idempotency == Idempotency::kNotIdempotent) ||
        message.attempts >= settings_.max_attempts)
      return RejectOrFail(message);
    ScheduleWindowEnd(message);
    Enqueue(message);
  }

  void On(const AttemptCompleted& event) {
    const auto found = messages_.find(event.id);
    if (found == messages_.end() || !found->second.in_flight || event.attempt != found->second.attempts - 1)
      return;
    Message& message = found->second;
    const ClassSettings& class_settings = settings_.classes[message.message_class];
    message.in_flight = false;
    const auto call = calls_.find(message.call_number);
    if (!call->second.outcome_recorded) {  // one fate, one lesson
      call->second.outcome_recorded = true;
      RecordOutcome(*call->second.endpoint, call->second.sent_at, event.outcome, event.retry_after,
                    event.latency, event.load_report, message.deadline <= now_ + kMinAnswerTime,
                    call->second.idle_age);
    }
    Endpoint& endpoint = *call->second.endpoint;
    // Every outcome is heard for its wait: the members of a call may be told waits of different length.
    endpoint.scope->retry_after_until = std::max(endpoint.scope->retry_after_until, now_ + event.retry_after);
    std::erase(call->second.messages, &message);
    for (auto& [number, other] : calls_) {  // what is still connecting would arrive amid the wait
      const bool is_earlier = other.endpoint == &endpoint && other.sent_at < call->second.sent_at;
      other.overtaken_by += event.outcome == Outcome::kOk && is_earlier ? 1 : 0;
      if (event.retry_after <= Duration(0) || other.endpoint->scope != endpoint.scope) continue;
      for (Message* other_message : other.messages)
        actions_->push_back(CancelIfUnsent{other_message->id, other_message->attempts - 1});
    }
    call->second.table_was_full |= call->second.idle_age == Duration(0) && event.retry_after == Duration(0);
    if (call->second.messages.empty()) FinishCall(call, event.outcome);
    const bool may_have_run = event.outcome == Outcome::kError || event.outcome == Outcome::kTimeout ||
                              event.outcome == Outcome::kReset || event.outcome == Outcome::kCancelled;
    if (may_have_run && !message.first_uncertain_attempt) {
      message.first_uncertain_attempt = message.sent_at;
      RecordUncertainEndpoint(message, endpoint);
      ScheduleWindowEnd(message);
    }
    if (may_have_run && event.outcome != Outcome::kError &&
        !message.key.empty()) {  // it may still run: the key rests
      ordering_keys_[message.key].quiet_until =
          std::max(ordering_keys_[message.key].quiet_until, now_ + settings_.key_quiet_time);
    }
    if (event.message_ended && !message.ended) CompleteMessage(message);
    if (message.ended) return EraseIfDone(message);
    // Effects: an unsafe message that may have run gets no further attempt and no refusal.
    if (message.first_uncertain_attempt && class_settings.idempotency == Idempotency::kNotIdempotent)
      return RejectOrFail(message);
    if (IsDeduplicationOver(message) || message.attempts >= settings_.max_attempts ||
        now_ + kMinAnswerTime >= message.deadline)
      return RejectOrFail(message);
    Enqueue(message);
  }

  void On(const MessageWithdrawn& event) {
    const auto found = messages_.find(event.id);
    if (found == messages_.end() || found->second.ended) return;
    Dequeue(found->second);
    CompleteMessage(found->second);
    EraseIfDone(found->second);
  }

  void On(
      const TimerFired&) {  // guards against a node that stands still: what is due in the gap is done before
    timer_delay_ = std::max(timer_at_ < now_ ? now_ - timer_at_ : Duration(0), timer_delay_ * 9 / 10);
    timer_at_ = Time::max();
  }
  void On(const ShutdownStarted& event) { shutdown_at_ = now_ + event.time_left; }
  void On(const GossipReceived&) {}        // nothing here rests on notes, which may be lost
  void On(const HealthCheckCompleted&) {}  // nor on probes: calls that may be sent tell as much

  // ---- Messages held ------------------------------------------------------------------------------------

  Destination& At(int number) {
    Destination& destination = destinations_[number];
    destination.ready.resize(settings_.classes.size());
    destination.relegated.resize(settings_.classes.size());
    return destination;
  }

  Queue& QueueOf(const Message& message) {
    Destination& destination = At(message.destination);
    return message.relegated ? destination.relegated[message.message_class]
                             : destination.ready[message.message_class];
  }
  // A step visits only destinations for which something waits: walking hundreds used up the node's CPU.
  void Enqueue(Message& message) {
    QueueOf(message)[{message.arrived_at, message.number}] = &message;
    if (At(message.destination).waiting_count++ == 0) active_[message.destination] = &At(message.destination);
    relegated_count_ += message.relegated ? 1 : 0;
  }
  void Dequeue(Message& message) {
    if (QueueOf(message).erase({message.arrived_at, message.number}) == 0) return;
    At(message.destination).waiting_count -= 1;  // an empty one leaves `active_` at the end of the step
    relegated_count_ -= message.relegated ? 1 : 0;
  }

  void CompleteMessage(Message& message) {
    message.ended = true, --pending_count_;
  }  // it has its final answer

  void RecordUncertainEndpoint(Message& message, const Endpoint& endpoint) {
    message.uncertain_endpoint = &endpoint, message.uncertain_zone = endpoint.zone;
  }
  // Whether the destination has forgotten the key of a message that may have run by then.
  bool IsDeduplicationOver(const Message& message, Duration in = kMinAnswerTime) const {
    const ClassSettings& class_settings = settings_.classes[message.message_class];
    const Time ran_at =
        message.first_uncertain_attempt.value_or(message.in_flight ? message.sent_at : now_ + in);
    return class_settings.idempotency == Idempotency::kIdempotentWithKey &&
           now_ + in > ran_at + class_settings.deduplication_window;
  }
  void ScheduleWindowEnd(const Message& message) {
    const ClassSettings& class_settings = settings_.classes[message.message_class];
    if (!message.first_uncertain_attempt || class_settings.idempotency != Idempotency::kIdempotentWithKey)
      return;
    deduplication_ends_.emplace(
        *message.first_uncertain_attempt + class_settings.deduplication_window - kMinAnswerTime, message.id);
  }

  void EraseIfDone(Message& message) {
    if (!message.ended || message.in_flight) return;
    if (!message.key.empty()) {
      OrderingKeyQueue& line = ordering_keys_[message.key];
      line.messages.erase(std::find(line.messages.begin(), line.messages.end(), &message));
      if (line.messages.empty()) quiet_keys_.emplace(line.quiet_until, message.key);
    }
    messages_.erase(message.id);
  }

  // A refusal says that trying again is harmless: only if nothing may have run, or the class allows it.
  bool IsSafeToReject(const Message& message) const {
    const ClassSettings& class_settings = settings_.classes[message.message_class];
    return !message.first_uncertain_attempt || class_settings.idempotency == Idempotency::kIdempotent ||
           (class_settings.idempotency == Idempotency::kIdempotentWithKey &&
            class_settings.key_scope == KeyScope::kAll);
  }

  void RejectOrFail(Message& message) {  // at once: an answer held back helps nobody
    Dequeue(message);
    Duration wait(0);
    for (Endpoint* endpoint : At(message.destination).endpoints) {
      if (endpoint->accepts_calls)
        wait = std::max({wait, endpoint->scope->retry_after_until - now_, endpoint->half_open_at - now_});
    }
    wait = settings_.retry_after_allowed ? std::min(wait, settings_.max_client_retry_after) : Duration(0);
    actions_->push_back(IsSafeToReject(message) ? Action(RejectMessage{message.id, wait})
                                                : Action(FailMessage{message.id}));
    CompleteMessage(message);
    EraseIfDone(message);
  }

  // Guards the memory against endpoints that are replaced all day long.
  void RemoveExpiredState() {
    for (; !quiet_keys_.empty() && quiet_keys_.begin()->first <= now_;
         quiet_keys_.erase(quiet_keys_.begin())) {
      const auto entry = ordering_keys_.find(quiet_keys_.begin()->second);
      if (entry != ordering_keys_.end() && entry->second.messages.empty() &&
          entry->second.quiet_until <= now_)
        ordering_keys_.erase(entry);
    }
    if (now_ < next_removal_at_) return;
    next_removal_at_ = now_ + seconds(1);
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
      Endpoint& endpoint = entry->second;
      // Its trouble is remembered until a destination that had it would be warm for long.
      if (!endpoint.removed_at || endpoint.in_flight > 0 ||
          *endpoint.removed_at + kForgetAfterWarmUps * settings_.warm_up_time > now_) {
        ++entry;
        continue;
      }
      for (auto& [id, m] : messages_) {
        if (m.uncertain_endpoint == &endpoint) m.uncertain_endpoint = nullptr;
        if (m.last_endpoint == &endpoint) m.last_endpoint = nullptr;
      }
      std::erase(At(endpoint.destination).endpoints, &endpoint);
      idle_endpoints_.erase(endpoint.id);
      if (settings_.kinds[endpoint.kind].per_endpoint_limits)
        scopes_.erase({endpoint.destination, endpoint.id});
      entry = endpoints_.erase(entry);
    }
  }

  // ---- Estimates ----------------------------------------------------------------------------------------

  // Expected call time: mean plus two deviations, nought before any call returns. What a handful tells leans
  // on the sender-wide figures, and the deviation counts for one mean at most, or relegation would misfire.
  Duration ExpectedLatency(const Destination& destination, bool with_deviation = true) const {
    if (destination.latency.count == 0) return Duration(0);
    const double k = destination.latency.count / (destination.latency.count + kGlobalLatencyWeight);
    const double mean = k * destination.latency.mean + (1 - k) * global_latency_.mean;
    const double deviation =
        k * std::sqrt(destination.latency.variance) + (1 - k) * std::sqrt(global_latency_.variance);
    return Duration(std::llround(mean + (with_deviation ? 2 * std::min(deviation, mean) : 0.0)));
  }

  double Priority(const Message& message, Duration expected) const {
    return static_cast<double>(message.objective_at.count()) +
           (1 + kRelegationGain * relegated_fraction_) * static_cast<double>(expected.count());
  }

  Duration AttemptTimeout(const Message& message, bool is_suspect) {
    const ClassSettings& class_settings = settings_.classes[message.message_class];
    const Destination& destination = At(message.destination);
    const double objectives = IsAtCallLimit() ? kTimeoutObjectivesAtCallLimit
                              : is_suspect    ? 1.0
                                              : kTimeoutObjectives;
    const double timeout = std::max(kTimeoutExpectedCalls * ToSeconds(ExpectedLatency(destination)),
                                    objectives * ToSeconds(class_settings.latency_objective));
    return FromSeconds(class_settings.idempotency == Idempotency::kNotIdempotent
                           ? kNotIdempotentTimeoutFactor * timeout
                           : timeout);
  }

  bool IsAtCallLimit() const { return now_ < call_limit_reached_at_ + kCallLimitMemory; }  // of late

  // ---- Release ------------------------------------------------------------------------------------------

  Message* NextInQueue(Queue& queue) {
    for (const auto& [place, m] : queue) {
      if (!m->key.empty()) {
        const OrderingKeyQueue& line = ordering_keys_[m->key];
        if (line.messages.front() != m) continue;
        if (line.quiet_until > now_) {
          WakeBy(line.quiet_until);
          continue;
        }
      }
      return m;
    }
    return nullptr;
  }

  Endpoint* ChooseEndpoint(Destination& destination, const Message& message) {
    Endpoint* best = nullptr;
    double best_price = 0;
    const ClassSettings& class_settings = settings_.classes[message.message_class];
    for (Endpoint* endpoint : destination.endpoints) {
      if (!MaySendTo(*endpoint, class_settings.idempotency == Idempotency::kNotIdempotent)) continue;
      if (message.first_uncertain_attempt && class_settings.idempotency == Idempotency::kIdempotentWithKey) {
        // A keyed message that may have run goes only where, and while, its key is remembered.
        if (IsDeduplicationOver(message)) continue;
        if (class_settings.key_scope == KeyScope::kZone && endpoint->zone != message.uncertain_zone) continue;
        if (class_settings.key_scope == KeyScope::kEndpoint && endpoint != message.uncertain_endpoint)
          continue;
      }
      double price = kQueueingPrice * endpoint->in_flight + FailureScore(*endpoint);
      if (!HasConnection(*endpoint)) price += settings_.handshake_price;
      if (endpoint->zone != settings_.zone) price += settings_.cross_zone_price;
      const bool has_fee = settings_.kinds[endpoint->kind].per_endpoint_limits &&
                           endpoint->zone < std::ssize(settings_.zone_prices);
      if (has_fee) price += settings_.zone_prices[endpoint->zone];
      if (message.attempts > 0 && message.last_endpoint == endpoint) price += kQueueingPrice;
      if (best == nullptr || price < best_price) std::tie(best, best_price) = std::pair(endpoint, price);
    }
    return best;
  }

  void Release() {
    is_at_call_limit_ = false;
    suspect_calls_ = 0;
    for (const auto& [number, call] : calls_) suspect_calls_ += IsSuspect(*call.endpoint) ? 1 : 0;
    for (const bool relegated : {false, true}) {
      while (true) {
        Message* best = nullptr;
        Endpoint* best_endpoint = nullptr;
        double lowest = 0;
        for (auto& [number, at] : active_) {
          Destination& destination = *at;
          const Duration expected = ExpectedLatency(destination);
          // A call cut off by the host's end may have run and is lost: what would not return waits instead.
          if (shutdown_at_ != Time::max() && now_ + std::max(expected, kMinOverdue) > shutdown_at_) continue;
          for (Queue& queue : relegated ? destination.relegated : destination.ready) {
            Message* message = queue.empty() ? nullptr : NextInQueue(queue);
            if (message == nullptr) continue;
            const bool is_first = best == nullptr;
            Endpoint* endpoint = is_first || Priority(*message, expected) < lowest
                                     ? ChooseEndpoint(destination, *message)
                                     : nullptr;
            if (endpoint == nullptr) continue;
            const double priority = Priority(
                *message, expected * (1 + (IsAtCallLimit() ? kCallLimitQueueing * endpoint->in_flight : 0)));
            if (is_first || priority < lowest)
              std::tie(best, best_endpoint, lowest) = std::tuple(message, endpoint, priority);
          }
        }
        if (best == nullptr) break;
        if (static_cast<int>(calls_.size()) >=
            settings_.max_concurrent_calls) {  // more would be wasted attempts
          is_at_call_limit_ = true;
          call_limit_reached_at_ = now_;
          return;
        }
        Dispatch(*best, *best_endpoint);
      }
    }
  }

  void Dispatch(Message& first, Endpoint& to) {
    Destination& destination = At(first.destination);
    const std::uint64_t number = next_call_++;
    Call& call = calls_[number];
    call.endpoint = &to;
    call.sent_at = now_;
    call.half_open_attempt = to.ejected && FailureScore(to) > kSuspectThreshold;
    if (call.half_open_attempt) to.half_open_attempt = true;
    call.idle_age = TakeConnection(to);
    to.in_flight += 1;
    to.in_flight_since.insert(now_);
    RecordCall(to);
    const bool is_suspect = IsSuspect(to);
    suspect_calls_ += is_suspect ? 1 : 0;
    const Duration timeout = AttemptTimeout(first, is_suspect);
    AddToCall(first, number, call, timeout);
    // One call carries what else is ready for the destination, lowest P first.
    while (static_cast<int>(call.messages.size()) < settings_.kinds[to.kind].max_batch_size) {
      Message* next = nullptr;
      for (auto* queues : {&destination.ready, &destination.relegated}) {
        for (Queue& queue : *queues) {
          Message* message = queue.empty() ? nullptr : NextInQueue(queue);
          if (message == nullptr ||
              (IsUnsafeToSend(to) &&
               settings_.classes[message->message_class].idempotency == Idempotency::kNotIdempotent))
            continue;
          if (message->first_uncertain_attempt &&
              settings_.classes[message->message_class].idempotency == Idempotency::kIdempotentWithKey)
            continue;
          if (next == nullptr || message->objective_at < next->objective_at) next = message;
        }
        if (next != nullptr) break;
      }
      if (next == nullptr) break;
      AddToCall(*next, number, call, timeout);
    }
  }

  void AddToCall(Message& message, std::uint64_t number, Call& call, Duration timeout) {
    Dequeue(message);
    message.in_flight = true;
    message.attempts += 1;
    message.sent_at = now_;
    message.call_number = number;
    call.messages.push_back(&message);
    message.last_endpoint = call.endpoint;
    actions_->push_back(
        StartAttempt{message.id, call.endpoint->id, std::min(timeout, message.deadline - now_)});
  }

  void FinishCall(std::map<std::uint64_t, Call>::iterator call, Outcome outcome) {
    Endpoint& endpoint = *call->second.endpoint;
    endpoint.in_flight -= 1;
    endpoint.in_flight_since.erase(endpoint.in_flight_since.find(call->second.sent_at));
    if (call->second.half_open_attempt) endpoint.half_open_attempt = false;
    // Only an answer leaves a connection that can serve again.
    if (outcome == Outcome::kOk || outcome == Outcome::kError ||
        (outcome == Outcome::kRejected && !call->second.table_was_full)) {
      endpoint.idle_since.push_back(now_);
      idle_endpoints_[endpoint.id] = &endpoint;
    }
    calls_.erase(call);
  }

  // While slots bind, what later calls to the same endpoint have overtaken is on a connection that fell
  // silent: it goes out again early. An unsafe message ends by that, so it takes twice the evidence.
  void CancelOvertaken() {
    if (!settings_.cancellation_allowed || !IsAtCallLimit()) return;
    for (auto& [number, call] : calls_) {
      const int evidence = call.cancelled ? 0 : call.overtaken_by / kOvertakenByCalls;
      for (Message* message : call.messages) {
        const int required =
            settings_.classes[message->message_class].idempotency == Idempotency::kNotIdempotent ? 2 : 1;
        const Duration limit = required * kOvertakenExpectedCalls * ExpectedLatency(At(message->destination));
        const Time due = call.sent_at + std::max<Duration>(limit, kMinOverdue / 2);
        if (evidence >= required) WakeBy(due);
        if (evidence < required || due > now_ || IsDeduplicationOver(*message, limit)) continue;
        call.cancelled = true;
        actions_->push_back(CancelAttempt{message->id, message->attempts - 1});
      }
    }
  }

  bool HasConnection(Endpoint& endpoint) {
    std::erase_if(endpoint.idle_since,
                  [this](Time t) { return t + settings_.connection_idle_timeout <= now_; });
    return !endpoint.idle_since.empty() || (settings_.max_streams_per_connection > 1 &&
                                            endpoint.in_flight % settings_.max_streams_per_connection != 0);
  }
  Duration TakeConnection(Endpoint& endpoint) {
    if (!HasConnection(endpoint) || endpoint.idle_since.empty()) return Duration(0);
    const Duration age = now_ - endpoint.idle_since.back();
    endpoint.idle_since.pop_back();
    return age;
  }
  // Closes idle connections before they are dropped unseen, by whatever (those idle for longer than is
  // trusted), or fill the table of an endpoint. Harm: a new connection for each spaced call.
  void CloseExpiredConnections() {
    std::erase_if(idle_endpoints_, [this](const auto& at) {
      Endpoint& endpoint = *at.second;
      const Duration keep = std::min(IdleLimit(), KeepAliveTime(endpoint));
      if (endpoint.idle_since.empty() || keep >= settings_.connection_idle_timeout)
        return endpoint.idle_since.empty();
      WakeBy(endpoint.idle_since.front() + keep);
      if (endpoint.idle_since.front() + keep > now_) return false;
      endpoint.idle_since.clear();
      actions_->push_back(CloseIdleConnections{endpoint.id});
      return true;
    });
  }

  // At first as long as leaves an endpoint no more idle connections of all senders than calls in service, or
  // than a few senders would keep for ever. Of senders that call at random each has one for a time.
  Duration KeepAliveTime(const Endpoint& endpoint) {
    const Destination& destination = At(endpoint.destination);
    const auto shares_scope = [&](const Endpoint* e) {
      return e->accepts_calls && e->scope == endpoint.scope;
    };
    const double call_rate = TotalRate(*endpoint.scope) /
                             std::max<double>(1, std::ranges::count_if(destination.endpoints, shares_scope));
    const double kept_fraction = std::min(
        1.0, std::max(kMinIdleConnections, call_rate * ToSeconds(ExpectedLatency(destination, false))) /
                 settings_.dispatcher_count);
    const double idle_seconds =
        std::min(ToSeconds(settings_.connection_idle_timeout),
                 -settings_.dispatcher_count / call_rate * std::log(1 - kept_fraction));
    return std::min(settings_.connection_idle_timeout,
                    FromSeconds(keep_alive_factor_[endpoint.kind] * idle_seconds));
  }

  Duration IdleLimit() const {
    if (!idle_limit_) return Duration::max();
    const double doublings = ToSeconds(now_ - idle_limit_->second) / kIdleLimitDoublingSeconds;
    return doublings > 10 ? Duration::max()
                          : FromSeconds(ToSeconds(idle_limit_->first) * std::exp2(doublings));
  }

  // ---- Relegation ---------------------------------------------------------------------------------------

  // A message that would miss its aim steps back, but lower worth at the same bottleneck (the destination's
  // pace, or the slots) steps back first; higher worth only when none lower remains.
  void Relegate() {
    for (auto& [number, at] : active_) {
      Destination& destination = *at;
      const Duration expected = ExpectedLatency(destination);
      for (std::size_t class_index = 0; class_index < destination.ready.size(); ++class_index) {
        while (!destination.ready[class_index].empty()) {
          Message& message = *destination.ready[class_index].begin()->second;
          if (now_ + expected <= message.objective_at) break;
          Message* victim = FindLowerPriority(destination, PriorityWeight(message));
          if (victim == nullptr) {
            RelegateMessage(message);
            continue;
          }
          if (message.exempted) break;
          message.exempted = true;
          RelegateMessage(*victim);
        }
        if (!destination.ready[class_index].empty())
          WakeBy(destination.ready[class_index].begin()->second->objective_at - expected + milliseconds(1));
      }
    }
    relegated_fraction_ = pending_count_ == 0 ? 0.0 : static_cast<double>(relegated_count_) / pending_count_;
  }

  // Past its tenant's share a message is worth less, seen from own traffic against an even split of the
  // allowance; where senders differ much, all tenants of a busy one look alike, so the order stays.
  double PriorityWeight(const Message& message) const {
    double weight = settings_.classes[message.message_class].priority_weight;
    if (static_cast<std::size_t>(message.tenant) < tenant_usage_.size() &&
        settings_.tenants[message.tenant].quota_per_second > 0) {
      const double usage = tenant_usage_[message.tenant].Of(now_) * settings_.dispatcher_count;
      const double within =
          std::min(1.0, settings_.tenants[message.tenant].quota_per_second / std::max(usage, 1e-9));
      weight *= within + (1 - within) * settings_.over_quota_weight;
    }
    return weight;
  }

  Message* FindLowerPriority(Destination& own, double weight) {
    Message* victim = nullptr;
    const auto search = [&](Destination& destination) {
      for (Queue& queue : destination.ready) {
        if (queue.empty()) continue;
        Message* message = queue.rbegin()->second;
        const double its = PriorityWeight(*message);
        if (its < weight) std::tie(victim, weight) = std::pair(message, its);
      }
    };
    search(own);
    for (auto& [number, d] : active_) {
      if (is_at_call_limit_) search(*d);
    }
    return victim;
  }

  void RelegateMessage(Message& message) {
    Dequeue(message);
    message.relegated = true;
    Enqueue(message);
  }

  // What cannot arrive gets its answer at once. By the mean: a wrong refusal costs more than a wrong place.
  void RejectLate() {
    // Past its window a keyed message that may have run goes nowhere; one that is out ends by its outcome.
    while (!deduplication_ends_.empty() && deduplication_ends_.begin()->first < now_) {
      const auto entry = messages_.find(deduplication_ends_.begin()->second);
      deduplication_ends_.erase(deduplication_ends_.begin());
      if (entry == messages_.end() || entry->second.in_flight || entry->second.ended) continue;
      RejectOrFail(entry->second);
    }
    if (!deduplication_ends_.empty()) WakeBy(deduplication_ends_.begin()->first + milliseconds(1));
    for (auto& [number, at] : active_) {
      Destination& destination = *at;
      const Duration need =
          std::max<Duration>(ExpectedLatency(destination, false), kMinAnswerTime) + timer_delay_;
      for (auto* queues : {&destination.ready, &destination.relegated}) {
        for (Queue& queue : *queues) {
          while (!queue.empty() && queue.begin()->second->deadline - now_ < need)
            RejectOrFail(*queue.begin()->second);
          if (!queue.empty()) WakeBy(queue.begin()->second->deadline - need + milliseconds(1));
        }
      }
    }
  }

  // What comes beyond the holding limit is turned away unseen, so the least worth goes before that.
  void ShedOverflow() {
    const int most = settings_.max_pending_messages -
                     std::max(1, static_cast<int>(kShedMargin * settings_.max_pending_messages));
    while (pending_count_ > most) {
      Message* least = nullptr;
      double least_value = 0;
      for (auto& [number, at] : active_) {
        Destination& destination = *at;
        // What waits ahead at the pace, in seconds: a message far back is worth little more than nothing.
        const double pace = destination.endpoints.empty() ? 0.0 : destination.endpoints.front()->scope->pace;
        const double seconds_ahead = pace > 0 ? destination.waiting_count / pace : 0.0;
        for (auto* queues : {&destination.relegated, &destination.ready}) {
          for (std::size_t class_index = 0; class_index < queues->size(); ++class_index) {
            if ((*queues)[class_index].empty()) continue;
            Message* message = (*queues)[class_index].rbegin()->second;
            const double objectives =
                seconds_ahead / ToSeconds(settings_.classes[class_index].latency_objective);
            // What came just now has no answer yet: refusing it breaks no promise.
            const bool is_acknowledged =
                message->accepted_at < now_ && !message->first_uncertain_attempt &&
                ToSeconds(now_ - message->accepted_at) <
                    kEarlyRejectionFraction * ToSeconds(message->deadline - message->accepted_at);
            const double fraction_left =
                (message->relegated ? settings_.classes[class_index].late_weight_fraction : 1.0) /
                (1 + objectives);
            const double value =
                PriorityWeight(*message) * (fraction_left + (is_acknowledged ? kEarlyRejectionPrice : 0.0));
            if (least == nullptr || value < least_value)
              std::tie(least, least_value) = std::pair(message, value);
          }
        }
      }
      if (least == nullptr) return;
      RejectOrFail(*least);
    }
  }

  // ---- Pace ---------------------------------------------------------------------------------------------

  bool PaceAllows(RateLimitScope& scope) {
    if (scope.retry_after_until > now_) {  // told to wait: nothing goes, for any message
      WakeBy(scope.retry_after_until);
      return false;
    }
    if (scope.pace <= 0) return true;
    const double burst = std::max(1.0, scope.pace * std::max(kBurstSeconds, ToSeconds(timer_delay_)));
    scope.tokens = std::min(burst, scope.tokens + scope.pace * ToSeconds(now_ - scope.tokens_at));
    scope.tokens_at = std::max(now_, scope.tokens_at);
    if (scope.tokens >= 1) return true;
    WakeBy(now_ + FromSeconds((1 - scope.tokens) / scope.pace) + milliseconds(1));
    return false;
  }

  void RecordCall(Endpoint& endpoint) {
    RateLimitScope& scope = *endpoint.scope;
    scope.tokens -= 1;
    scope.recent_calls.push_back(now_);
    while (scope.recent_calls.front() + settings_.overload_duration < now_) scope.recent_calls.pop_front();
    if (!endpoint.exempted) scope.recovery_budget -= 1;
  }

  // Once for a burst: only for calls sent after the last cut. One to all senders come back: first their root.
  void DecreasePace(RateLimitScope& scope, Time sent_at) {
    if (sent_at <= scope.last_decrease_at) return;
    scope.last_decrease_at = now_;
    const double recent = static_cast<double>(scope.recent_calls.size()) /
                          std::max(0.1, ToSeconds(settings_.overload_duration));
    const double previous = std::min(
        recent, scope.pace > 0 ? scope.pace : 2 * TotalRate(scope) / std::sqrt(settings_.dispatcher_count));
    scope.pace = std::max(kDecreaseFactor * previous, kMinEvenShareFraction * EvenShare(scope));
    // The next call at random in twice the mean gap: senders refused together must not come back together.
    scope.tokens = 1 - std::uniform_real_distribution<double>(0, 2)(random_);
    scope.tokens_at = scope.last_increase_at = now_;
  }

  // Where no rate is told: as if all senders were answered as often as this one.
  double TotalRate(const RateLimitScope& scope) const {
    const double own = std::max(scope.answered.Of(now_), scope.recovering_since ? scope.usual_rate : 0.0);
    return scope.advertised_rate > 0 ? scope.advertised_rate
                                     : std::max(kMinAssumedRate, own * settings_.dispatcher_count);
  }

  // An even split of the told rate, the least pace. While a limit goes on refusing it takes less than is
  // told, or is used up by refused calls: half with each further cut, down to what a cold destination takes.
  double EvenShare(const RateLimitScope& scope) const {
    return TotalRate(scope) / settings_.dispatcher_count *
           std::max(settings_.cold_capacity_fraction,
                    std::pow(kDecreaseFactor, std::max(0, scope.consecutive_decreases - 1)));
  }

  void IncreasePace(RateLimitScope& scope) {
    if (scope.pace <= 0) return;
    const double fraction =
        std::clamp(kIncreasePerSecond * ToSeconds(now_ - scope.last_increase_at), kMinIncrease, kMaxIncrease);
    scope.last_increase_at = std::max(now_, scope.last_increase_at);
    scope.pace = std::max(scope.pace, std::min(2 * scope.pace, kMinEvenShareFraction * EvenShare(scope)));
    scope.pace +=
        std::max(kMinIncrease * scope.advertised_rate / settings_.dispatcher_count, fraction * scope.pace);
    if (scope.advertised_rate > 0) scope.pace = std::min(scope.pace, scope.advertised_rate);
  }

  // ---- Health -------------------------------------------------------------------------------------------

  bool IsOverdue(const Endpoint& endpoint) {
    if (endpoint.in_flight_since.empty() || endpoint.last_success_at > *endpoint.in_flight_since.begin())
      return false;
    const double expected = ToSeconds(ExpectedLatency(At(endpoint.destination)));
    const Duration limit = std::max<Duration>(FromSeconds(kOverdueExpectedCalls * expected), kMinOverdue);
    return expected > 0 && now_ - *endpoint.in_flight_since.begin() > limit;
  }

  // Suspicion ages, or who calls seldom holds unsafe messages for ever. Risk: a longer outage takes one.
  double FailureScore(const Endpoint& endpoint) const {
    return endpoint.failure_score * std::exp(-ToSeconds(now_ - endpoint.failure_score_at) /
                                             std::max(1e-3, ToSeconds(settings_.warm_up_time)));
  }
  void MoveFailureScore(Endpoint& endpoint, double target, double weight) {
    endpoint.failure_score = FailureScore(endpoint) + weight * (target - FailureScore(endpoint));
    endpoint.failure_score_at = now_;
  }

  bool IsSuspect(const Endpoint& endpoint) {
    return FailureScore(endpoint) > kSuspectThreshold || IsOverdue(endpoint);
  }
  // What never ran (no connection, refused) can be tried with anything.
  bool IsUnsafeToSend(const Endpoint& endpoint) {
    return IsOverdue(endpoint) ||
           (endpoint.failure_may_have_run && FailureScore(endpoint) > kSuspectThreshold);
  }

  bool MaySendTo(Endpoint& endpoint, bool not_idempotent) {
    if (!endpoint.accepts_calls || !PaceAllows(*endpoint.scope) || !RecoveryBudgetAllows(endpoint))
      return false;
    if (!IsSuspect(endpoint)) return true;
    // Neither a hung destination nor many together may eat the slots, and nothing unsafe goes to a suspect.
    if (not_idempotent && IsUnsafeToSend(endpoint)) return false;
    if (endpoint.in_flight >=
        std::max(1, static_cast<int>(kSuspectCallFraction * settings_.max_concurrent_calls)))
      return false;
    if (suspect_calls_ >=
        std::max(1, static_cast<int>(kAllSuspectsCallFraction * settings_.max_concurrent_calls)))
      return false;
    if (!endpoint.ejected) return true;
    if (endpoint.half_open_attempt) return false;
    if (endpoint.half_open_at > now_) WakeBy(endpoint.half_open_at);
    return endpoint.half_open_at <= now_;
  }

  // What one call or probe teaches. `at_deadline`: it was cut short by the message's own deadline.
  void RecordOutcome(Endpoint& endpoint, Time sent_at, Outcome outcome, Duration retry_after,
                     Duration latency, const LoadReport& load, bool at_deadline, Duration idle_age) {
    RateLimitScope& scope = *endpoint.scope;
    if (load.rate_limit > 0) scope.advertised_rate = load.rate_limit;
    const bool failed = outcome == Outcome::kReset || outcome == Outcome::kCancelled ||
                        (outcome == Outcome::kTimeout && !at_deadline);
    // Connections that fall silent at any age are no reason to give up idle ones.
    const bool was_idle = idle_age >= kFreshIdleAge;
    if (failed || outcome == Outcome::kOk) {
      connection_failures_[was_idle] = kFailureRateDecay * connection_failures_[was_idle] + (failed ? 1 : 0);
      connection_calls_[was_idle] = kFailureRateDecay * connection_calls_[was_idle] + 1;
    }
    const bool idleness_is_blamed =
        connection_failures_[1] > 0.9 + kIdleFailureRatio * connection_calls_[1] *
                                            (connection_failures_[0] + 1) /
                                            (connection_calls_[0] + kAssumedActiveCalls);
    if (failed && !was_idle && !idleness_is_blamed) idle_limit_.reset();
    if (failed && was_idle && idleness_is_blamed && FailureScore(endpoint) <= kSuspectThreshold) {
      // Perhaps dropped unseen; unless the next answers at a usual pace it was an outage: trust comes back.
      if (!endpoint.idle_limit_before)
        endpoint.idle_limit_before = std::min<Duration>(IdleLimit(), seconds(3600));
      idle_limit_ = {std::min(IdleLimit(), idle_age / 2), now_};
      MoveFailureScore(endpoint, 1, kSoftFailureWeight);  // weak evidence of an outage
      endpoint.failure_may_have_run = true;
      return;
    }
    if (endpoint.idle_limit_before &&
        (outcome != Outcome::kOk ||
         static_cast<double>(latency.count()) >
             2 * std::min(At(endpoint.destination).latency.mean, global_latency_.mean))) {
      idle_limit_ = {std::max(*endpoint.idle_limit_before, IdleLimit()), now_};
    }
    endpoint.idle_limit_before.reset();
    if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return;
    if (outcome == Outcome::kConnectFailed && FailureScore(endpoint) <= kSuspectThreshold)
      keep_alive_factor_[endpoint.kind] *= kKeepAliveDecrease;
    const bool is_crowded = KeepAliveTime(endpoint) < settings_.connection_idle_timeout;
    if (outcome == Outcome::kOk && idle_age == Duration(0) && is_crowded)
      keep_alive_factor_[endpoint.kind] *= kKeepAliveIncrease;
    if (outcome == Outcome::kOk) {
      if (latency > Duration(0)) {  // failures and refusals never feed the expected time
        At(endpoint.destination).latency.Add(static_cast<double>(latency.count()));
        global_latency_.Add(static_cast<double>(latency.count()));
        endpoint.consecutive_failures = 0;
        if (scope.recovering_since) {
          // Sent within a moment of the failure and answered: the trouble is another endpoint's alone.
          if (FailureScore(endpoint) <= kSuspectThreshold &&
              sent_at < *scope.recovering_since + settings_.overload_duration)
            endpoint.exempted = true;
          if (!(endpoint.exempted && scope.ejected) && !scope.recovered_at &&
              FailureScore(endpoint) <= kEjectionThreshold)
            scope.recovered_at = now_;  // probes prove too little
        }
      }
      endpoint.last_success_at = now_;
      scope.consecutive_rejections = scope.consecutive_connect_failures = scope.consecutive_decreases = 0;
      MoveFailureScore(endpoint, 0, kSuccessWeight);
      scope.answered.Add(now_);
      return IncreasePace(scope);
    }
    if (outcome == Outcome::kRejected) {
      scope.retry_after_until = std::max(scope.retry_after_until, now_ + retry_after);
      // A full table tells nothing of the destination's pace: as with a failed connection one more call does.
      // It tells no wait, and refuses before the handshake: sooner than a limit. Few senders can't fill one.
      if (idle_age == Duration(0) && retry_after > Duration(0))
        rejection_latency_.Add(static_cast<double>(latency.count()));
      const bool is_early = static_cast<double>(latency.count()) <
                            kTableFullLatencyFraction *
                                (rejection_latency_.count > 0 ? rejection_latency_ : global_latency_).mean;
      const bool table_was_full =
          is_early && idle_age + retry_after == Duration(0) && is_crowded && !endpoint.ejected;
      if (table_was_full) keep_alive_factor_[endpoint.kind] *= kKeepAliveDecrease;
      const bool confirm = table_was_full && ++scope.consecutive_connect_failures == 1;
      scope.consecutive_decreases += !table_was_full && sent_at > scope.last_decrease_at ? 1 : 0;
      if (!confirm) DecreasePace(scope, sent_at);
      if (scope.consecutive_rejections++ == 0) scope.rejected_since = now_;
      StartRecovery(endpoint, confirm);
      // Shut, not merely above its limit: a wait or a row of refusals as long as an outage matters.
      if (retry_after > settings_.overload_duration ||
          (scope.consecutive_rejections >= 3 && now_ - scope.rejected_since > settings_.overload_duration)) {
        MoveFailureScore(endpoint, std::max(FailureScore(endpoint), kEjectionThreshold + 0.1), 1);
        endpoint.failure_may_have_run = false;
        Eject(endpoint, "refuses all");
      }
      return;
    }
    // Connections also break at random: what has really gone refuses the next, or is silent: counted in full.
    const bool is_soft = outcome == Outcome::kError || outcome == Outcome::kReset;
    endpoint.consecutive_failures += is_soft ? 0 : 1;
    endpoint.failure_may_have_run = outcome != Outcome::kConnectFailed;
    // A connection that fails may have met a full table: one more call, to any endpoint, soon tells.
    const bool confirm =
        !endpoint.failure_may_have_run && !endpoint.ejected && ++scope.consecutive_connect_failures == 1;
    MoveFailureScore(endpoint, 1,
                     is_soft || at_deadline || confirm ? kSoftFailureWeight : kHardFailureWeight);
    if (confirm || endpoint.failure_score >= kHardFailureWeight) {
      endpoint.exempted = false;
      StartRecovery(endpoint, confirm);
    }
    // In an outage one more hard failure is enough: a success, or a probe's, amid failures is no recovery.
    if (!confirm && scope.consecutive_connect_failures > 1)
      scope.ejected = true, scope.recovered_at.reset();  // of all that share it
    if (confirm || (endpoint.consecutive_failures < 2 &&
                    endpoint.failure_score < (endpoint.ejected ? kHardFailureWeight : kEjectionThreshold)))
      return;
    DecreasePace(scope, sent_at);  // most calls fail
    Eject(endpoint, "fails");
  }

  void Eject(Endpoint& endpoint, const char* how) {
    if (!endpoint.ejected) Log("outage: " + endpoint.id + " " + how);
    StartRecovery(endpoint);
    endpoint.ejected = endpoint.scope->ejected = true;
    endpoint.exempted = false;
    endpoint.scope->recovered_at.reset();
    endpoint.half_open_at = now_ + Jitter(kHalfOpenInterval);
  }

  // ---- Guards -------------------------------------------------------------------------------------------

  // Fail-back: a returning destination is cold and falls over if pushed. From the first refusal or failure on
  // calls to all that shares its limit go by credit, until it has answered (for long, after an outage).
  void StartRecovery(Endpoint& endpoint, bool confirm = false) {
    RateLimitScope& scope = *endpoint.scope;
    if (!scope.recovering_since) {
      scope.recovering_since = scope.recovery_budget_at = now_;
      scope.usual_rate = scope.answered.Of(now_);
      scope.recovered_at.reset();
      // One call at once to a sibling shows whose trouble it is. Else some of many senders try early.
      const bool has_sibling =
          scope.consecutive_rejections == 0 &&
          std::ranges::any_of(At(endpoint.destination).endpoints, [&](const Endpoint* other) {
            return other != &endpoint && other->accepts_calls && other->scope == &scope &&
                   FailureScore(*other) <= kSuspectThreshold;
          });
      scope.recovery_budget = has_sibling ? 1 : std::uniform_real_distribution<double>(0, 1)(random_);
      if (has_sibling) return;
    }
    const Duration delay =
        std::max<Duration>(ExpectedLatency(At(endpoint.destination), false), kMinOverdue / 2);
    if (confirm) scope.recovery_budget = 1, scope.recovery_budget_at = now_ + Jitter(delay, 1.0);
  }

  bool RecoveryBudgetAllows(Endpoint& endpoint) {
    RateLimitScope& scope = *endpoint.scope;
    if (!scope.recovering_since) return true;
    if (scope.recovered_at && (scope.ejected ? now_ > *scope.recovered_at + settings_.warm_up_time
                                             : FailureScore(endpoint) < kHardFailureWeight)) {
      for (Endpoint* sibling : At(endpoint.destination).endpoints) {
        if (sibling->scope != &scope) continue;
        if (sibling->ejected) Log("recovered: " + sibling->id);
        sibling->ejected = sibling->exempted = false;
      }
      scope.ejected = false;
      scope.recovering_since.reset();
      return true;
    }
    if (endpoint.exempted) return true;
    const double warmth =
        scope.recovered_at ? ToSeconds(now_ - *scope.recovered_at) / ToSeconds(settings_.warm_up_time) : 0.0;
    const double capacity =
        std::min(1.0, settings_.cold_capacity_fraction + (1 - settings_.cold_capacity_fraction) * warmth);
    // Its share of all: usual answered calls, and one message of all that came since the failure.
    double share = scope.usual_rate +
                   1 / std::max(0.1, ToSeconds(now_ - *scope.recovering_since + settings_.overload_duration));
    share = std::max(share, EvenShare(scope));
    if (scope.advertised_rate > 0) share = std::min(share, scope.advertised_rate);
    // While no second message waits here few senders may have seen it, and the others' calls outweigh theirs.
    const double unobserved =
        kUnobservedCalls * std::exp(1.0 - std::max(1, At(endpoint.destination).waiting_count));
    const double rate =
        kRecoveryBudgetFraction * std::max(capacity * settings_.overload_multiple, unobserved) * share;
    scope.recovery_budget =
        std::min(1.0, scope.recovery_budget + rate * ToSeconds(now_ - scope.recovery_budget_at));
    scope.recovery_budget_at = now_;
    if (scope.recovery_budget < 1)
      WakeBy(now_ + FromSeconds((1 - scope.recovery_budget) / rate) + milliseconds(1));
    return scope.recovery_budget >= 1;
  }

  void SubscribeIfNeeded() {
    if (!settings_.endpoint_list_on_request || is_subscribed_ || subscription_requested_) return;
    if (subscribe_at_ > now_) return WakeBy(subscribe_at_);
    subscription_requested_ = true;
    actions_->push_back(SubscribeEndpointList{true});
  }

  void WakeBy(Time at) {
    if (at > now_) wake_at_ = std::min(wake_at_, at);
  }

  void RequestTimer() {
    if (!calls_.empty()) WakeBy(now_ + kMinOverdue);  // overdue calls show by time alone
    if (wake_at_ == Time::max() || wake_at_ >= timer_at_) return;
    timer_at_ = wake_at_;
    actions_->push_back(ScheduleTimer{wake_at_ - now_});
  }

  Duration Jitter(Duration duration,
                  double fraction = 0.2) {  // senders that failed together must not come back together
    return FromSeconds(ToSeconds(duration) *
                       std::uniform_real_distribution<double>(1 - fraction, 1 + fraction)(random_));
  }
  static double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
  static Duration FromSeconds(double seconds) { return Duration(std::llround(seconds * 1e6)); }
  void Log(std::string line) { actions_->push_back(WriteLogLine{std::move(line)}); }

  Settings settings_;
  std::mt19937_64 random_;
  static constexpr Time kNever{std::numeric_limits<std::int64_t>::min()};
  Time now_ = kNever, call_limit_reached_at_ = kNever, next_removal_at_ = kNever, subscribe_at_ = kNever;
  std::vector<Action>* actions_ = nullptr;
  std::map<std::string, Message> messages_;
  std::map<int, Destination> destinations_;
  std::map<int, Destination*> active_;  // those for which messages wait
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::pair<int, std::string>, RateLimitScope> scopes_;
  std::map<std::string, OrderingKeyQueue> ordering_keys_;
  std::multimap<Time, std::string> quiet_keys_;  // keys of which nothing is held, until they may be forgotten
  std::map<std::uint64_t, Call> calls_;
  LatencyEstimate global_latency_,
      rejection_latency_;  // of all destinations: answers; refusals that told a wait, on new connections
  std::uint64_t next_number_ = 0, next_call_ = 0;
  std::optional<std::pair<Duration, Time>> idle_limit_;  // idle age trusted so far, and when that was learnt
  double connection_failures_[2] = {},
         connection_calls_[2] = {};        // calls of late on connections in use, and on rested ones
  std::vector<DecayedRate> tenant_usage_;  // by tenant, messages taken
  Duration timer_delay_{0};                // by which wakes came late, at worst and of late
  std::vector<double> keep_alive_factor_;  // by kind, of the time that KeepFor begins with
  std::map<std::string, Endpoint*> idle_endpoints_;  // endpoints that may have idle connections
  int pending_count_ = 0, relegated_count_ = 0, suspect_calls_ = 0;
  double relegated_fraction_ = 0;
  bool is_at_call_limit_ = false;
  bool is_subscribed_ = false, subscription_requested_ = false;
  Time wake_at_ = Time::max(), timer_at_ = Time::max(), shutdown_at_ = Time::max();
  std::multimap<Time, std::string> deduplication_ends_;  // of keyed messages that may have run
};

DispatchPolicy::DispatchPolicy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DispatchPolicy::~DispatchPolicy() = default;
DispatchPolicy::DispatchPolicy(DispatchPolicy&&) noexcept = default;
DispatchPolicy& DispatchPolicy::operator=(DispatchPolicy&&) noexcept = default;

void DispatchPolicy::Process(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->Process(now, events, actions);
}
int DispatchPolicy::AvoidedEndpointCount() const { return impl_->AvoidedEndpointCount(); }

}  // namespace sagetally
