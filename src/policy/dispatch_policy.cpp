// The decision module: takes in events, decides once by the units of src/policy and answers with actions. The
// units are headers, as only this file uses them; each includes the ones that it builds on.
#include "sagetally/dispatch_policy.h"

#include "estimators/settings_validation.h"
#include "policy/recovery_gossip.h"
#include "policy/release.h"

namespace sagetally {

using namespace policy;

class DispatchPolicy::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : state_{std::move(settings), RandomSource(seed)} {
    ValidateSettings(state_.settings);
  }

  void Process(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    state_.now = std::max(state_.now, now);
    state_.actions = &actions;
    state_.wake_at = Time::max();
    for (const Event& event : events) std::visit([this](const auto& typed) { On(typed); }, event);
    SubscribeIfNeeded();
    CancelOvertaken(state_);
    GiveUpLate(state_);
    Relegate(state_);
    CloseExpiredConnections(state_);
    Release(state_);
    ShedOverflow(state_);  // last: what can leave at once is not shed for what waits
    EraseExpired();
    std::erase_if(state_.active, [](const auto& entry) { return entry.second->waiting_count == 0; });
    RequestTimer();
  }

  int AvoidedEndpointCount() const {
    return static_cast<int>(std::ranges::count_if(state_.endpoints, [](const auto& entry) {
      return !entry.second.removed_at && (!entry.second.accepts_calls || entry.second.ejected);
    }));
  }

 private:
  void On(const EndpointListUpdated& event) {
    if (!event.is_cached) subscription_requested_ = false;
    if (event.kind == EndpointListUpdated::Kind::kFailed) {
      subscribe_at_ = state_.now + state_.random.Jitter(kSubscribeBackoff);
      return;
    }
    if (!event.is_cached) subscribe_at_ = Time::max();
    if (event.kind == EndpointListUpdated::Kind::kFullSnapshot) {
      for (auto& [id, endpoint] : state_.endpoints) {
        endpoint.accepts_calls = false;
        endpoint.removed_at = endpoint.removed_at.value_or(state_.now);
      }
    }
    for (const EndpointRecord& record : event.endpoints) UpdateEndpoint(record);
  }

  void UpdateEndpoint(const EndpointRecord& record) {
    ValidateIndex(record.kind, state_.settings.kinds.size(), "kind of endpoint", record.endpoint);
    if (!state_.endpoints.contains(record.endpoint)) AddEndpoint(record);
    Endpoint& endpoint = state_.endpoints.at(record.endpoint);
    const bool is_removed = record.state == EndpointRecord::State::kRemoved;
    endpoint.removed_at = is_removed ? std::optional(endpoint.removed_at.value_or(state_.now)) : std::nullopt;
    // A draining or removed endpoint gets nothing more from this batch on.
    endpoint.accepts_calls = record.state == EndpointRecord::State::kUp;
    const bool has_rate = record.rate > 0 && state_.settings.advertised_rates != AdvertisedRates::kNone;
    if (endpoint.accepts_calls && has_rate) endpoint.scope->advertised_rate = record.rate;
  }

  void AddEndpoint(const EndpointRecord& record) {
    const bool has_own_limit = state_.settings.kinds[record.kind].per_endpoint_limits;
    RateLimitScope& scope = state_.scopes[{record.destination, has_own_limit ? record.endpoint : ""}];
    Destination& destination = DestinationOf(record.destination);
    const DecayedScore score(state_.settings.warm_up_time);
    Endpoint endpoint{record.endpoint, record.zone, record.kind, &destination, &scope, score, has_own_limit};
    const auto entry = state_.endpoints.emplace(record.endpoint, std::move(endpoint)).first;
    destination.endpoints.push_back(&entry->second);
  }

  void On(const MessageAccepted& event) {
    ValidateIndex(event.message_class, state_.settings.classes.size(), "class of message", event.id);
    if (state_.messages.contains(event.id)) return;
    Message& message = AddMessage(event);
    // The history of a message from before a restart binds as if this dispatcher had made the attempts.
    const auto ran_at = state_.endpoints.find(event.first_uncertain_endpoint);
    if (ran_at != state_.endpoints.end()) SetUncertainEndpoint(message, ran_at->second);
    const auto in_flight_at = state_.endpoints.find(event.in_flight_endpoint);
    const bool is_in_flight = in_flight_at != state_.endpoints.end();
    if (!is_in_flight && MayNotRetry(message)) return GiveUp(state_, message);
    ScheduleDeduplicationEnd(state_, message);
    GrantArrivalPermits(message);
    if (!is_in_flight) return Enqueue(state_, message);
    --message.attempts;                              // counted anew as it is dispatched
    MaySendTo(state_, in_flight_at->second, false);  // brings pace and budget up to this moment
    Dispatch(state_, message, in_flight_at->second);
  }

  void GrantArrivalPermits(const Message& message) {
    std::vector<RateLimitScope*> scopes;  // in the order of the list, on which the random draws depend
    for (const Endpoint* endpoint : message.target->endpoints) {
      const bool is_known = std::ranges::find(scopes, endpoint->scope) != scopes.end();
      if (endpoint->accepts_calls && !is_known) scopes.push_back(endpoint->scope);
    }
    for (RateLimitScope* scope : scopes) GrantArrivalPermit(state_, *scope, std::ssize(scopes));
  }

  Message& AddMessage(const MessageAccepted& event) {
    Message& message = state_.messages.emplace(event.id, Message{event}).first->second;
    message.number = state_.next_message_number++;
    message.target = &DestinationOf(event.destination);
    message.settings = &state_.settings.classes[event.message_class];
    message.accepted_at = state_.now;
    message.deadline = state_.now + event.time_left;
    // A message handed over keeps its age, so queues are in order of deadlines. One with less time left than
    // its objective is an impatient client's and due at its deadline: as an old one it would be relegated.
    message.arrived_at = message.deadline - message.settings->deadline;
    const Duration objective = message.settings->latency_objective;
    message.objective_at = event.time_left < objective ? message.deadline : message.arrived_at + objective;
    if (!message.settings->ordered_by_key) message.key.clear();
    if (!message.key.empty()) state_.ordering_keys[message.key].messages.push_back(&message);
    ++state_.pending_count;
    const auto tenant = static_cast<std::size_t>(event.tenant);
    if (tenant < state_.tenant_usage.size()) state_.tenant_usage[tenant].Add(state_.now);
    return message;
  }

  static void SetUncertainEndpoint(Message& message, const Endpoint& endpoint) {
    message.uncertain_endpoint = &endpoint;
    message.uncertain_zone = endpoint.zone;
  }

  void On(const AttemptCompleted& event) {
    const auto entry = state_.messages.find(event.id);
    if (entry == state_.messages.end() || entry->second.call == nullptr) return;
    Message& message = entry->second;
    if (event.attempt != message.attempts - 1) return;
    CompleteAttempt(state_, message, event);
    const bool may_still_run = MayStillRun(event.outcome);
    if ((may_still_run || event.outcome == Outcome::kError) && !message.first_uncertain_attempt) {
      message.first_uncertain_attempt = message.sent_at;
      SetUncertainEndpoint(message, *message.last_endpoint);
      ScheduleDeduplicationEnd(state_, message);
    }
    if (may_still_run && !message.key.empty()) {  // no message with the key goes out for a while
      Time& quiet_until = state_.ordering_keys[message.key].quiet_until;
      quiet_until = std::max(quiet_until, state_.now + state_.settings.key_quiet_time);
    }
    if (message.has_ended) return EraseIfDone(state_, message);
    if (event.message_ended) return EndMessage(state_, message);
    const bool is_due = state_.now + kMinAnswerTime >= message.deadline;
    if (is_due || MayNotRetry(message) || HasKeyExpired(state_, message)) return GiveUp(state_, message);
    Enqueue(state_, message);
  }

  bool MayNotRetry(const Message& message) const {
    if (message.first_uncertain_attempt && message.IsNotIdempotent()) return true;
    return message.attempts >= state_.settings.max_attempts;
  }

  void On(const MessageWithdrawn& event) {
    const auto entry = state_.messages.find(event.id);
    if (entry != state_.messages.end() && !entry->second.has_ended) EndMessage(state_, entry->second);
  }

  // A node that stands still does what falls due in the next gap before it.
  void On(const TimerFired&) {
    const Duration delay = timer_at_ < state_.now ? state_.now - timer_at_ : Duration(0);
    state_.timer_delay = std::max(delay, state_.timer_delay * 9 / 10);
    timer_at_ = Time::max();
  }
  void On(const ShutdownStarted& event) { state_.shutdown_at = state_.now + event.time_left; }
  void On(const GossipReceived& event) { OnRecoveryGossip(state_, event.body); }
  void On(const auto&) {}  // health checks tell no more than calls do

  Destination& DestinationOf(int number) {
    const auto entry = state_.destinations.find(number);
    if (entry != state_.destinations.end()) return entry->second;
    const std::vector<MessageQueue> queues(state_.settings.classes.size());
    return state_.destinations[number] = Destination{number, &state_.global_latency, queues, queues};
  }

  // Guards the memory. An outage is remembered for longer than a destination takes to warm up.
  void EraseExpired() {
    if (state_.now < next_expiry_at_) return;
    next_expiry_at_ = state_.now + kExpiryInterval;
    std::erase_if(state_.ordering_keys, [&](const auto& entry) {
      return entry.second.messages.empty() && entry.second.quiet_until <= state_.now;
    });
    const Time forgotten = state_.now - kForgetAfterWarmUps * state_.settings.warm_up_time;
    std::erase_if(state_.endpoints, [&](const auto& entry) {
      const Endpoint& endpoint = entry.second;
      if (endpoint.removed_at.value_or(Time::max()) > forgotten || endpoint.InFlight() > 0) return false;
      Forget(endpoint);
      return true;
    });
  }

  void Forget(const Endpoint& endpoint) {
    for (auto& [id, message] : state_.messages) {
      if (message.uncertain_endpoint == &endpoint) message.uncertain_endpoint = nullptr;
      if (message.last_endpoint == &endpoint) message.last_endpoint = nullptr;
    }
    std::erase(endpoint.destination->endpoints, &endpoint);
    state_.idle_endpoints.erase(endpoint.id);
    if (endpoint.has_own_limit) state_.scopes.erase({endpoint.destination->number, endpoint.id});
  }

  void SubscribeIfNeeded() {
    if (!state_.settings.endpoint_list_on_request || subscription_requested_) return;
    if (subscribe_at_ > state_.now) return state_.WakeBy(subscribe_at_);
    subscription_requested_ = true;
    state_.Emit(SubscribeEndpointList{true});
  }

  void RequestTimer() {
    if (!state_.calls.empty()) state_.WakeBy(state_.now + kMinOverdue);  // overdue calls show by time alone
    if (state_.wake_at == Time::max() || state_.wake_at >= timer_at_) return;
    timer_at_ = state_.wake_at;
    state_.Emit(ScheduleTimer{timer_at_ - state_.now});
  }

  static constexpr int kForgetAfterWarmUps = 3;  // what was removed for so many warm-up times is forgotten
  static constexpr Duration kExpiryInterval = seconds(1);
  static constexpr Duration kSubscribeBackoff = milliseconds(500);

  PolicyState state_;
  bool subscription_requested_ = false;
  Time subscribe_at_ = Time::min(), next_expiry_at_ = Time::min(), timer_at_ = Time::max();  // max(): never
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
