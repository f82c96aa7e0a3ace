// Decides which message is sent next, to which endpoint and with which timeout, and keeps track of the calls
// in flight. The message with the lowest priority value is sent first. The value is the end of the latency
// objective plus alpha times the expected latency (NIYAMA). DispatchPolicy calls CancelOvertaken and Release
// in each run, Dispatch for a call that was in flight before a restart, and CompleteAttempt when an attempt
// has ended.
#ifndef SAGETALLY_SRC_POLICY_RELEASE_H_
#define SAGETALLY_SRC_POLICY_RELEASE_H_

#include "policy/endpoint_health.h"
#include "policy/message_queues.h"

namespace sagetally::policy {

// Alpha is 1 plus this times the fraction of the pending messages that are relegated.
constexpr double kRelegationGain = 3.0;
// The timeout of an attempt is this many expected latencies, but at least as many latency objectives as one
// of the next three constants says.
constexpr double kTimeoutExpectedLatencies = 3.0;
constexpr double kTimeoutObjectives = 1.2;
// Applies in place of kTimeoutObjectives to a suspect endpoint.
constexpr double kSuspectTimeoutObjectives = 1.0;
// Applies in place of both at the limit of concurrent calls, where calls that are never answered keep others
// from being sent.
constexpr double kTimeoutObjectivesAtCallLimit = 0.3;
// The timeout of a message that is not idempotent is longer by this factor.
constexpr double kNotIdempotentTimeoutFactor = 2.0;
// Added to the price of an endpoint for each call in flight to it, behind which a new call would wait, and
// once if the message's last attempt went to it.
constexpr double kQueueingPrice = 0.1;
// A call is overtaken once as many calls that were sent later to the same endpoint have been answered as the
// first constant says, and it has been in flight for as many expected latencies as the second says.
constexpr int kOvertakenByCalls = 2;
constexpr int kOvertakenExpectedLatencies = 2;

// The timeout of a call that is sent now with `message` as its first message.
inline Duration AttemptTimeout(const PolicyState& state, const Message& message, bool is_suspect) {
  double objectives = is_suspect ? kSuspectTimeoutObjectives : kTimeoutObjectives;
  if (state.WasAtCallLimit()) objectives = kTimeoutObjectivesAtCallLimit;
  const double expected = kTimeoutExpectedLatencies * ToSeconds(message.target->ExpectedLatency());
  const double timeout = std::max(expected, objectives * ToSeconds(message.settings->latency_objective));
  return FromSeconds(message.IsNotIdempotent() ? kNotIdempotentTimeoutFactor * timeout : timeout);
}

// Whether the endpoint would recognise a repetition of the message. A message with an idempotency key that
// may have run is sent only to endpoints that remember the key, and only while they do. True for all other
// messages.
inline bool RemembersKey(const PolicyState& state, const Endpoint& endpoint, const Message& message) {
  if (!message.first_uncertain_attempt || !message.HasIdempotencyKey()) return true;
  if (HasKeyExpired(state, message)) return false;
  if (message.settings->key_scope == KeyScope::kZone) return endpoint.zone == message.uncertain_zone;
  return message.settings->key_scope == KeyScope::kAll || &endpoint == message.uncertain_endpoint;
}

// The price of sending the message to the endpoint; the endpoint with the lowest price is chosen. A retry
// costs more at the endpoint of the last attempt.
inline double CallPrice(const PolicyState& state, Endpoint& endpoint, const Message& message) {
  const std::vector<double>& zone_prices = state.settings.zone_prices;
  double price = kQueueingPrice * endpoint.InFlight() + endpoint.failure_score.At(state.now);
  if (!HasConnection(state, endpoint)) price += state.settings.handshake_price;
  if (endpoint.zone != state.settings.zone) price += state.settings.cross_zone_price;
  if (endpoint.has_own_limit && endpoint.zone < std::ssize(zone_prices)) price += zone_prices[endpoint.zone];
  if (message.attempts > 0 && message.last_endpoint == &endpoint) price += kQueueingPrice;
  return price;
}

// Returns the cheapest endpoint to which the message may be sent now, or nullptr.
inline Endpoint* ChooseEndpoint(PolicyState& state, const Message& message) {
  Minimum<Endpoint*> cheapest;
  for (Endpoint* endpoint : message.target->endpoints) {
    if (!MaySendTo(state, *endpoint, message.IsNotIdempotent())) continue;
    if (RemembersKey(state, *endpoint, message)) {
      cheapest.Offer(endpoint, CallPrice(state, *endpoint, message));
    }
  }
  return cheapest.item;
}

// The priority value of a message, in microseconds, if a call takes `expected`. The lowest value goes first.
inline double PriorityValue(const PolicyState& state, const Message& message, Duration expected) {
  const double alpha = 1 + kRelegationGain * state.relegated_fraction;
  return static_cast<double>(message.objective_at.count()) + alpha * static_cast<double>(expected.count());
}

// A message that can be sent now, and the endpoint for it.
struct Candidate {
  Message* message = nullptr;
  Endpoint* endpoint = nullptr;
};

// Returns the message to send next, from the relegated messages or from the others, if one can be sent.
inline std::optional<Candidate> FindNext(PolicyState& state, bool relegated) {
  Minimum<std::optional<Candidate>> next;
  for (const auto& [number, destination] : state.active_destinations) {
    const Duration expected = destination->ExpectedLatency();
    // A call that the shutdown cuts off may have run, and its outcome is lost. So a call that would not
    // return before the shutdown is not made, and its message waits.
    if (state.now + std::max(expected, kMinOverdueTime) > state.shutdown_at) continue;
    for (const MessageQueue& queue : relegated ? destination->relegated : destination->ready) {
      Message* const message = NextMessage(state, queue);
      if (message == nullptr || PriorityValue(state, *message, expected) >= next.value) continue;
      Endpoint* const endpoint = ChooseEndpoint(state, *message);
      if (endpoint == nullptr) continue;
      // At the limit of concurrent calls, each call in flight to the endpoint counts as one more expected
      // latency.
      const int calls_ahead = state.WasAtCallLimit() ? endpoint->InFlight() : 0;
      next.Offer(Candidate{message, endpoint}, PriorityValue(state, *message, expected * (1 + calls_ahead)));
    }
  }
  return next.item;
}

// Returns the message whose latency objective ends first of those that may share a call to the endpoint, or
// nullptr. Relegated messages come after the others.
inline Message* FindMessageForBatch(PolicyState& state, const Destination& destination,
                                    const Endpoint& endpoint) {
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

// Takes the message out of its queue and starts an attempt for it as part of the call.
inline void AddToCall(PolicyState& state, Message& message, Call& call, Duration timeout) {
  Dequeue(state, message);
  message.attempts += 1;
  message.sent_at = state.now;
  message.call = &call;
  message.last_endpoint = call.endpoint;
  call.messages.push_back(&message);
  state.Emit(StartAttempt{message.id, call.endpoint->id, std::min(timeout, message.deadline - state.now)});
}

// Sends a call to the endpoint with the message `first` and as many others as may share the call.
inline void Dispatch(PolicyState& state, Message& first, Endpoint& endpoint) {
  const std::uint64_t number = state.next_call_number++;
  Call& call = state.calls[number];
  call = Call{number, &endpoint, state.now, TakeConnection(state, endpoint)};
  call.is_half_open_attempt = endpoint.ejected && endpoint.HasFailed(state.now);
  endpoint.has_half_open_attempt |= call.is_half_open_attempt;
  endpoint.in_flight_since.insert(state.now);
  endpoint.scope->bucket.tokens -= 1;
  endpoint.scope->recent_calls.Add(state.now, state.settings.overload_duration);
  SpendRecoveryPermit(endpoint);
  const bool is_suspect = endpoint.IsSuspect(state.now);
  state.suspect_calls += is_suspect ? 1 : 0;
  const Duration timeout = AttemptTimeout(state, first, is_suspect);
  AddToCall(state, first, call, timeout);
  while (std::ssize(call.messages) < state.settings.kinds[endpoint.kind].max_batch_size) {
    Message* const next = FindMessageForBatch(state, *first.target, endpoint);
    if (next == nullptr) break;
    AddToCall(state, *next, call, timeout);
  }
}

// Sends messages until none can be sent or the limit of concurrent calls is reached.
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

// At the limit of concurrent calls, cancels calls that later calls to the same endpoint have overtaken,
// because their connections have probably fallen silent, so that their messages can be sent again early. For
// a message that is not idempotent the cancellation is the end, so it takes twice the evidence.
inline void CancelOvertaken(PolicyState& state) {
  if (!state.settings.cancellation_allowed || !state.WasAtCallLimit()) return;
  for (auto& [number, call] : state.calls) {
    const int evidence = call.cancelled ? 0 : call.overtaken_by / kOvertakenByCalls;
    for (const Message* message : call.messages) {
      const int required = message->IsNotIdempotent() ? 2 : 1;
      const Duration limit = required * kOvertakenExpectedLatencies * message->target->ExpectedLatency();
      const Time due = call.sent_at + std::max<Duration>(limit, kMinOverdueTime / 2);
      if (evidence < required) continue;
      state.WakeBy(due);
      if (due > state.now || HasKeyExpired(state, *message, limit)) continue;
      call.cancelled = true;
      state.Emit(CancelAttempt{message->id, message->attempts - 1});
    }
  }
}

// Ends a call when the attempts for all its messages have ended.
inline void EndCall(PolicyState& state, const Call& call, Outcome outcome) {
  Endpoint& endpoint = *call.endpoint;
  endpoint.in_flight_since.erase(endpoint.in_flight_since.find(call.sent_at));
  if (call.is_half_open_attempt) endpoint.has_half_open_attempt = false;
  // The connection can be used again only if it brought an answer.
  const bool was_rejected = outcome == Outcome::kRejected && !call.table_may_be_full;
  if (outcome == Outcome::kOk || outcome == Outcome::kError || was_rejected) {
    endpoint.idle_since.push_back(state.now);
    state.idle_endpoints[endpoint.id] = &endpoint;
  }
  state.calls.erase(call.number);
}

// The destination of `call` has asked for a pause. A call that is not sent yet, because its connection is
// still being made, would arrive during the pause.
inline void KeepPause(PolicyState& state, const Call& call, Duration retry_after) {
  if (retry_after <= Duration(0)) return;
  RateLimitScope& scope = *call.endpoint->scope;
  scope.retry_after_until = std::max(scope.retry_after_until, state.now + retry_after);
  for (const auto& [number, other] : state.calls) {
    if (other.endpoint->scope != &scope) continue;
    for (const Message* unsent : other.messages) state.Emit(CancelIfUnsent{unsent->id, unsent->attempts - 1});
  }
}

// Takes in the end of a message's attempt in flight. What becomes of the message is up to the caller.
inline void CompleteAttempt(PolicyState& state, Message& message, const AttemptCompleted& event) {
  Call& call = *std::exchange(message.call, nullptr);
  // The messages of a call share its outcome, but the pauses that they are asked for (Retry-After) may
  // differ.
  call.ended_at_deadline = message.deadline <= state.now + kMinAnswerTime;
  if (!call.outcome_recorded) RecordOutcome(state, call, event);
  call.outcome_recorded = true;
  std::erase(call.messages, &message);
  KeepPause(state, call, event.retry_after);
  for (auto& [number, other] : state.calls) {
    const bool is_earlier = other.endpoint == call.endpoint && other.sent_at < call.sent_at;
    other.overtaken_by += event.outcome == Outcome::kOk && is_earlier ? 1 : 0;
  }
  call.table_may_be_full |= call.idle_age == Duration(0) && event.retry_after == Duration(0);
  if (call.messages.empty()) EndCall(state, call, event.outcome);
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_RELEASE_H_
