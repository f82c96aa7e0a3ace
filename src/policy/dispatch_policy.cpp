// Implements DispatchPolicy: takes in events, decides once and answers with actions. The decisions are in the
// headers of src/policy. They are headers because only this file uses them; each includes the ones that it
// builds on.
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
    // Last, so that a message that can be sent at once is not shed in favour of one that waits.
    ShedOverflow(state_);
    EraseExpired();
    std::erase_if(state_.active_destinations,
                  [](const auto& entry) { return entry.second->waiting_count == 0; });
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
    // From this run on, an endpoint that is draining or removed gets no calls.
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
    // A message may have been attempted before a restart. Those attempts count as if this process had made
    // them.
    const auto uncertain_entry = state_.endpoints.find(event.first_uncertain_endpoint);
    if (uncertain_entry != state_.endpoints.end()) SetUncertainEndpoint(message, uncertain_entry->second);
    const auto in_flight_entry = state_.endpoints.find(event.in_flight_endpoint);
    const bool is_in_flight = in_flight_entry != state_.endpoints.end();
    if (!is_in_flight && MayNotRetry(message)) return GiveUp(state_, message);
    ScheduleDeduplicationEnd(state_, message);
    GrantArrivalPermits(message);
    if (!is_in_flight) return Enqueue(state_, message);
    // Dispatch counts the attempt again.
    --message.attempts;
    // Called only to bring the pace and the recovery budget up to date.
    MaySendTo(state_, in_flight_entry->second, false);
    Dispatch(state_, message, in_flight_entry->second);
  }

  void GrantArrivalPermits(const Message& message) {
    // In the order of the endpoint list, because the random draws depend on the order.
    std::vector<RateLimitScope*> scopes;
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
    // A message that was handed over keeps its age, so each queue is in the order of the deadlines. If less
    // time is left than the latency objective, the client is impatient and the objective ends at the
    // deadline. Otherwise the message would be taken for an old one and be relegated.
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
    // No message with the same ordering key is sent for key_quiet_time.
    if (may_still_run && !message.key.empty()) {
      Time& quiet_until = state_.ordering_keys[message.key].quiet_until;
      quiet_until = std::max(quiet_until, state_.now + state_.settings.key_quiet_time);
    }
    if (message.has_ended) return EraseIfDone(state_, message);
    if (event.message_ended) return EndMessage(state_, message);
    const bool is_due = state_.now + kMinAnswerTime >= message.deadline;
    if (is_due || MayNotRetry(message) || HasKeyExpired(state_, message)) return GiveUp(state_, message);
    Enqueue(state_, message);
  }

  void On(const RetryAfterReceived& event) {
    const auto entry = state_.messages.find(event.id);
    if (entry == state_.messages.end() || entry->second.call == nullptr) return;
    if (event.attempt != entry->second.attempts - 1) return;
    KeepPause(state_, *entry->second.call, event.retry_after);
  }

  // Whether the message must get no further attempt.
  bool MayNotRetry(const Message& message) const {
    if (message.first_uncertain_attempt && message.IsNotIdempotent()) return true;
    return message.attempts >= state_.settings.max_attempts;
  }

  void On(const MessageWithdrawn& event) {
    const auto entry = state_.messages.find(event.id);
    if (entry != state_.messages.end() && !entry->second.has_ended) EndMessage(state_, entry->second);
  }

  // Learns how late the timers fire. On a node that stands still from time to time, work that falls due
  // during the next such gap is then done before it.
  void On(const TimerFired&) {
    const Duration delay = timer_at_ < state_.now ? state_.now - timer_at_ : Duration(0);
    state_.timer_delay = std::max(delay, state_.timer_delay * 9 / 10);
    timer_at_ = Time::max();
  }
  void On(const ShutdownStarted& event) { state_.shutdown_at = state_.now + event.time_left; }
  void On(const GossipReceived& event) { OnRecoveryGossip(state_, event.body); }
  // Ignores health checks, which show no more than calls do.
  void On(const auto&) {}

  Destination& DestinationOf(int number) {
    const auto entry = state_.destinations.find(number);
    if (entry != state_.destinations.end()) return entry->second;
    const std::vector<MessageQueue> queues(state_.settings.classes.size());
    return state_.destinations[number] = Destination{number, &state_.global_latency, queues, queues};
  }

  // Bounds the use of memory: erases the ordering keys that are not in use and the endpoints that were
  // removed long ago. The latter are kept for longer than a destination takes to warm up, so that an outage
  // is not forgotten before that.
  void EraseExpired() {
    if (state_.now < next_expiry_at_) return;
    next_expiry_at_ = state_.now + kExpiryInterval;
    std::erase_if(state_.ordering_keys, [&](const auto& entry) {
      return entry.second.messages.empty() && entry.second.quiet_until <= state_.now;
    });
    const Time forget_before = state_.now - kForgetAfterWarmUps * state_.settings.warm_up_time;
    std::erase_if(state_.endpoints, [&](const auto& entry) {
      const Endpoint& endpoint = entry.second;
      if (endpoint.removed_at.value_or(Time::max()) > forget_before || endpoint.InFlight() > 0) return false;
      Forget(endpoint);
      return true;
    });
  }

  // Removes all references to an endpoint that is erased.
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
    // No event shows that a call has become overdue, so the policy runs again to find out.
    if (!state_.calls.empty()) state_.WakeBy(state_.now + kMinOverdueTime);
    if (state_.wake_at == Time::max() || state_.wake_at >= timer_at_) return;
    timer_at_ = state_.wake_at;
    state_.Emit(ScheduleTimer{timer_at_ - state_.now});
  }

  // An endpoint that has been removed for this many warm-up times is erased.
  static constexpr int kForgetAfterWarmUps = 3;
  // Least time between two runs of EraseExpired.
  static constexpr Duration kExpiryInterval = seconds(1);
  // Time after a failed subscription until the next one, with jitter.
  static constexpr Duration kSubscribeBackoff = milliseconds(500);

  PolicyState state_;
  // A SubscribeEndpointList has not been answered yet.
  bool subscription_requested_ = false;
  // Earliest time of the next subscription; max() if none is needed.
  Time subscribe_at_ = Time::min();
  Time next_expiry_at_ = Time::min();
  // When the timer that was asked for last fires; max() if there is none.
  Time timer_at_ = Time::max();
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
