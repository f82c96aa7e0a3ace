// Which message goes out next, where and with which timeout; and the calls in flight. The lowest priority
// value goes first: end of the latency objective + alpha x expected latency (NIYAMA).
#ifndef SAGETALLY_SRC_POLICY_RELEASE_H_
#define SAGETALLY_SRC_POLICY_RELEASE_H_

#include "policy/endpoint_health.h"
#include "policy/message_queues.h"

namespace sagetally::policy {

constexpr double kRelegationGain = 3.0;  // alpha is 1 plus this times the fraction relegated
// Timeouts: so many expected latencies, and at least so many latency objectives.
constexpr double kTimeoutExpectedCalls = 3.0, kTimeoutObjectives = 1.2, kSuspectTimeoutObjectives = 1.0;
constexpr double kTimeoutObjectivesAtCallLimit = 0.3;  // calls never answered keep others from going out
constexpr double kNotIdempotentTimeoutFactor = 2.0;
constexpr double kQueueingPrice = 0.1;  // of waiting behind one more call at an endpoint
constexpr int kOvertakenByCalls = 2, kOvertakenExpectedCalls = 2;  // later calls answered; expected latencies

inline Duration AttemptTimeout(const PolicyState& state, const Message& message, bool is_suspect) {
  double objectives = is_suspect ? kSuspectTimeoutObjectives : kTimeoutObjectives;
  if (state.WasAtCallLimit()) objectives = kTimeoutObjectivesAtCallLimit;
  const double expected = kTimeoutExpectedCalls * ToSeconds(message.target->ExpectedLatency());
  const double timeout = std::max(expected, objectives * ToSeconds(message.settings->latency_objective));
  return FromSeconds(message.IsNotIdempotent() ? kNotIdempotentTimeoutFactor * timeout : timeout);
}

// A message with an idempotency key that may have run goes only where, and while, its key is remembered.
inline bool RemembersKey(const PolicyState& state, const Endpoint& endpoint, const Message& message) {
  if (!message.first_uncertain_attempt || !message.HasIdempotencyKey()) return true;
  if (HasKeyExpired(state, message)) return false;
  if (message.settings->key_scope == KeyScope::kZone) return endpoint.zone == message.uncertain_zone;
  return message.settings->key_scope == KeyScope::kAll || &endpoint == message.uncertain_endpoint;
}

inline double Price(const PolicyState& state, Endpoint& endpoint, const Message& message) {
  const std::vector<double>& zone_prices = state.settings.zone_prices;
  double price = kQueueingPrice * endpoint.InFlight() + endpoint.failure_score.At(state.now);
  if (!HasConnection(state, endpoint)) price += state.settings.handshake_price;
  if (endpoint.zone != state.settings.zone) price += state.settings.cross_zone_price;
  if (endpoint.has_own_limit && endpoint.zone < std::ssize(zone_prices)) price += zone_prices[endpoint.zone];
  if (message.attempts > 0 && message.last_endpoint == &endpoint) price += kQueueingPrice;
  return price;
}

inline Endpoint* ChooseEndpoint(PolicyState& state, const Message& message) {
  Minimum<Endpoint*> cheapest;
  for (Endpoint* endpoint : message.target->endpoints) {
    if (!MaySendTo(state, *endpoint, message.IsNotIdempotent())) continue;
    if (RemembersKey(state, *endpoint, message)) cheapest.Offer(endpoint, Price(state, *endpoint, message));
  }
  return cheapest.item;
}

inline double Priority(const PolicyState& state, const Message& message, Duration expected) {
  const double alpha = 1 + kRelegationGain * state.relegated_fraction;
  return static_cast<double>(message.objective_at.count()) + alpha * static_cast<double>(expected.count());
}

struct Candidate {
  Message* message = nullptr;
  Endpoint* endpoint = nullptr;
};

inline std::optional<Candidate> FindNext(PolicyState& state, bool relegated) {
  Minimum<std::optional<Candidate>> next;
  for (const auto& [number, destination] : state.active) {
    const Duration expected = destination->ExpectedLatency();
    // A call cut off by the shutdown may have run and is lost: what would not return waits instead.
    if (state.now + std::max(expected, kMinOverdue) > state.shutdown_at) continue;
    for (const MessageQueue& queue : relegated ? destination->relegated : destination->ready) {
      Message* const message = NextMessage(state, queue);
      if (message == nullptr || Priority(state, *message, expected) >= next.value) continue;
      Endpoint* const endpoint = ChooseEndpoint(state, *message);
      if (endpoint == nullptr) continue;
      const int calls_ahead = state.WasAtCallLimit() ? endpoint->InFlight() : 0;  // each adds one latency
      next.Offer(Candidate{message, endpoint}, Priority(state, *message, expected * (1 + calls_ahead)));
    }
  }
  return next.item;
}

// The message due first that may share a call to the endpoint, or nullptr.
inline Message* FindCompanion(PolicyState& state, const Destination& destination, const Endpoint& endpoint) {
  Minimum<Message*> first;
  for (const auto* queues : {&destination.ready, &destination.relegated}) {
    for (const MessageQueue& queue : *queues) {
      Message* const message = NextMessage(state, queue);
      if (message == nullptr || (message->IsNotIdempotent() && endpoint.MayRunAndFail(state.now))) continue;
      if (message->first_uncertain_attempt && message->HasIdempotencyKey()) continue;
      first.Offer(message, static_cast<double>(message->objective_at.count()));
    }
    if (first.item != nullptr) break;
  }
  return first.item;
}

inline void AddToCall(PolicyState& state, Message& message, Call& call, Duration timeout) {
  Dequeue(state, message);
  message.attempts += 1;
  message.sent_at = state.now;
  message.call = &call;
  message.last_endpoint = call.endpoint;
  call.messages.push_back(&message);
  state.Emit(StartAttempt{message.id, call.endpoint->id, std::min(timeout, message.deadline - state.now)});
}

inline void Dispatch(PolicyState& state, Message& first, Endpoint& endpoint) {
  const std::uint64_t number = state.next_call_number++;
  Call& call = state.calls[number];
  call = Call{number, &endpoint, state.now, TakeConnection(state, endpoint)};
  call.half_open_attempt = endpoint.ejected && endpoint.HasFailed(state.now);
  endpoint.half_open_attempt |= call.half_open_attempt;
  endpoint.in_flight_since.insert(state.now);
  endpoint.scope->bucket.tokens -= 1;
  endpoint.scope->recent_calls.Add(state.now, state.settings.overload_duration);
  SpendRecoveryPermit(endpoint);
  const bool is_suspect = endpoint.IsSuspect(state.now);
  state.suspect_calls += is_suspect ? 1 : 0;
  const Duration timeout = AttemptTimeout(state, first, is_suspect);
  AddToCall(state, first, call, timeout);
  while (std::ssize(call.messages) < state.settings.kinds[endpoint.kind].max_batch_size) {
    Message* const companion = FindCompanion(state, *first.target, endpoint);
    if (companion == nullptr) break;
    AddToCall(state, *companion, call, timeout);
  }
}

inline void Release(PolicyState& state) {
  state.at_call_limit = false;
  state.suspect_calls = 0;
  for (const auto& [id, call] : state.calls) state.suspect_calls += call.endpoint->IsSuspect(state.now);
  for (const bool relegated : {false, true}) {
    while (const std::optional<Candidate> next = FindNext(state, relegated)) {
      state.at_call_limit = std::ssize(state.calls) >= state.settings.max_concurrent_calls;
      if (state.at_call_limit) state.call_limit_reached_at = state.now;
      if (state.at_call_limit) return;
      Dispatch(state, *next->message, *next->endpoint);
    }
  }
}

// At the call limit, what later calls to the same endpoint have overtaken, on a connection that fell silent,
// goes out again early. That ends a message that is not idempotent, so it takes twice the evidence.
inline void CancelOvertaken(PolicyState& state) {
  if (!state.settings.cancellation_allowed || !state.WasAtCallLimit()) return;
  for (auto& [number, call] : state.calls) {
    const int evidence = call.cancelled ? 0 : call.overtaken_by / kOvertakenByCalls;
    for (const Message* message : call.messages) {
      const int required = message->IsNotIdempotent() ? 2 : 1;
      const Duration limit = required * kOvertakenExpectedCalls * message->target->ExpectedLatency();
      const Time due = call.sent_at + std::max<Duration>(limit, kMinOverdue / 2);
      if (evidence < required) continue;
      state.WakeBy(due);
      if (due > state.now || HasKeyExpired(state, *message, limit)) continue;
      call.cancelled = true;
      state.Emit(CancelAttempt{message->id, message->attempts - 1});
    }
  }
}

inline void EndCall(PolicyState& state, const Call& call, Outcome outcome) {
  Endpoint& endpoint = *call.endpoint;
  endpoint.in_flight_since.erase(endpoint.in_flight_since.find(call.sent_at));
  if (call.half_open_attempt) endpoint.half_open_attempt = false;
  // Only an answer leaves a connection that can serve again.
  const bool was_rejected = outcome == Outcome::kRejected && !call.table_was_full;
  if (outcome == Outcome::kOk || outcome == Outcome::kError || was_rejected) {
    endpoint.idle_since.push_back(state.now);
    state.idle_endpoints[endpoint.id] = &endpoint;
  }
  state.calls.erase(call.number);
}

inline void CompleteAttempt(PolicyState& state, Message& message, const AttemptCompleted& event) {
  Call& call = *std::exchange(message.call, nullptr);
  // The messages of a call share its outcome, but their Retry-After may differ.
  call.at_deadline = message.deadline <= state.now + kMinAnswerTime;
  if (!call.outcome_recorded) RecordOutcome(state, call, event);
  call.outcome_recorded = true;
  RateLimitScope& scope = *call.endpoint->scope;
  scope.retry_after_until = std::max(scope.retry_after_until, state.now + event.retry_after);
  std::erase(call.messages, &message);
  for (auto& [number, other] : state.calls) {
    const bool is_earlier = other.endpoint == call.endpoint && other.sent_at < call.sent_at;
    other.overtaken_by += event.outcome == Outcome::kOk && is_earlier ? 1 : 0;
    // What is still connecting would arrive amid the wait.
    if (event.retry_after <= Duration(0) || other.endpoint->scope != &scope) continue;
    for (const Message* unsent : other.messages) state.Emit(CancelIfUnsent{unsent->id, unsent->attempts - 1});
  }
  call.table_was_full |= call.idle_age == Duration(0) && event.retry_after == Duration(0);
  if (call.messages.empty()) EndCall(state, call, event.outcome);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RELEASE_H_
