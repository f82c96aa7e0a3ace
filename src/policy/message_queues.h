// The queues of pending messages, and which messages are relegated or given up if not all can be delivered in
// time (as in NIYAMA). A message that would miss its latency objective is relegated, or in its place one of
// lower weight. A message that can no longer be delivered before its deadline is given up, and so are the
// least valuable ones when too many are pending.
#ifndef SAGETALLY_SRC_POLICY_MESSAGE_QUEUES_H_
#define SAGETALLY_SRC_POLICY_MESSAGE_QUEUES_H_

#include "policy/policy_state.h"

namespace sagetally::policy {

// Fraction of max_pending_messages that is kept free.
constexpr double kShedMarginFraction = 0.04;
// A rejection before this fraction of the time from a message's acceptance to its deadline has passed breaks
// a promise.
constexpr double kEarlyRejectionFraction = 0.7;
// What such a rejection costs, as a fraction of the message's weight.
constexpr double kEarlyRejectionPrice = 0.3;

// The queue in which the message waits, or would wait.
inline MessageQueue& QueueOf(const Message& message) {
  return (message.relegated ? message.target->relegated : message.target->ready)[message.message_class];
}

// Puts the message into its queue.
inline void Enqueue(PolicyState& state, Message& message) {
  QueueOf(message)[{message.arrived_at, message.number}] = &message;
  if (message.target->waiting_count++ == 0) {
    state.active_destinations[message.target->number] = message.target;
  }
  state.relegated_count += message.relegated ? 1 : 0;
}

// Takes the message out of its queue. Has no effect if it is not there.
inline void Dequeue(PolicyState& state, const Message& message) {
  if (QueueOf(message).erase({message.arrived_at, message.number}) == 0) return;
  // A destination with empty queues stays in active_destinations until the end of the run.
  --message.target->waiting_count;
  state.relegated_count -= message.relegated ? 1 : 0;
}

// Returns the first message of the queue that may be sent as far as its ordering key is concerned, or
// nullptr. An ordering key holds a message back while an earlier one with the same key is not finished, and
// in the quiet time.
inline Message* NextMessage(PolicyState& state, const MessageQueue& queue) {
  for (const auto& [position, message] : queue) {
    if (message->key.empty()) return message;
    const OrderingKeyQueue& key_queue = state.ordering_keys[message->key];
    if (key_queue.messages.front() != message) continue;
    if (key_queue.quiet_until <= state.now) return message;
    state.WakeBy(key_queue.quiet_until);
  }
  return nullptr;
}

// Whether the destination will have forgotten the idempotency key of a message that may have run, `delay`
// from now. An attempt in flight may have run since it was sent.
inline bool HasKeyExpired(const PolicyState& state, const Message& message, Duration delay = kMinAnswerTime) {
  const Time then = state.now + delay;
  const Time ran_at =
      message.first_uncertain_attempt.value_or(message.call != nullptr ? message.sent_at : then);
  return message.HasIdempotencyKey() && then > ran_at + message.settings->deduplication_window;
}

// Notes when a message that may have run must be given up, because its idempotency key will soon be
// forgotten.
inline void ScheduleDeduplicationEnd(PolicyState& state, const Message& message) {
  if (!message.first_uncertain_attempt || !message.HasIdempotencyKey()) return;
  const Duration window = message.settings->deduplication_window;
  state.deduplication_ends.Add(*message.first_uncertain_attempt + window - kMinAnswerTime, message.id);
}

// Erases a message that has its final status and no attempt in flight.
inline void EraseIfDone(PolicyState& state, const Message& message) {
  if (!message.has_ended || message.call != nullptr) return;
  if (!message.key.empty()) std::erase(state.ordering_keys[message.key].messages, &message);
  state.messages.erase(message.id);
}

// Ends a message: no answer to it is outstanding any more. It is erased once its last attempt has ended.
inline void EndMessage(PolicyState& state, Message& message) {
  Dequeue(state, message);
  message.has_ended = true;
  --state.pending_count;
  EraseIfDone(state, message);
}

// Whether the message may be rejected. A rejection says that the client can safely hand the message in again,
// which is true only if no attempt may have run or if the class makes a repetition harmless at every
// endpoint.
inline bool IsSafeToReject(const Message& message) {
  if (!message.first_uncertain_attempt) return true;
  return message.HasIdempotencyKey() ? message.settings->key_scope == KeyScope::kAll
                                     : !message.IsNotIdempotent();
}

// Gives the message its final answer without delivering it: rejects it, or fails it if a rejection is not
// safe. If the settings allow it, a rejection tells the client to wait until all endpoints of the destination
// can be called again, at most max_client_retry_after.
inline void GiveUp(PolicyState& state, Message& message) {
  Duration retry_after(0);
  for (const Endpoint* endpoint : message.target->endpoints) {
    const Time until = std::max(endpoint->scope->retry_after_until, endpoint->half_open_at);
    if (endpoint->accepts_calls) retry_after = std::max(retry_after, until - state.now);
  }
  retry_after = std::min(
      retry_after, state.settings.retry_after_allowed ? state.settings.max_client_retry_after : Duration(0));
  state.Emit(IsSafeToReject(message) ? Action(RejectMessage{message.id, retry_after})
                                     : FailMessage{message.id});
  EndMessage(state, message);
}

// Gives up the messages that can no longer be delivered in time: those whose deduplication window ends, and
// those with less time to their deadline than a call takes. That is judged by the mean latency without the
// margin that relegation adds, because a wrong rejection costs more than a wrong place in the queues.
inline void GiveUpLate(PolicyState& state) {
  while (const std::optional<std::string> id = state.deduplication_ends.PopBefore(state.now)) {
    const auto entry = state.messages.find(*id);
    // A message in flight gets its final status from the outcome of its attempt.
    if (entry == state.messages.end() || entry->second.call != nullptr || entry->second.has_ended) continue;
    GiveUp(state, entry->second);
  }
  if (const auto next = state.deduplication_ends.NextExpiry()) state.WakeBy(*next + milliseconds(1));
  for (auto& [number, destination] : state.active_destinations) {
    const Duration needed = std::max(destination->MeanLatency(), kMinAnswerTime) + state.timer_delay;
    for (auto* queues : {&destination->ready, &destination->relegated}) {
      for (MessageQueue& queue : *queues) {
        const auto is_late = [&] { return queue.begin()->second->deadline - state.now < needed; };
        while (!queue.empty() && is_late()) GiveUp(state, *queue.begin()->second);
        if (!queue.empty()) state.WakeBy(queue.begin()->second->deadline - needed + milliseconds(1));
      }
    }
  }
}

// The priority weight of the message, reduced if its tenant is beyond its quota. The tenant's usage is
// estimated from the messages that this dispatcher accepts, as if all dispatchers accepted as many.
inline double Weight(const PolicyState& state, const Message& message) {
  const double weight = message.settings->priority_weight;
  if (static_cast<std::size_t>(message.tenant) >= state.tenant_usage.size()) return weight;
  const double quota = state.settings.tenants[message.tenant].quota_per_second;
  if (quota <= 0) return weight;
  const double usage = state.tenant_usage[message.tenant].At(state.now) * state.settings.dispatcher_count;
  const double within_fraction = std::min(1.0, quota / std::max(usage, 1e-9));
  return weight * (within_fraction + (1 - within_fraction) * state.settings.over_quota_weight);
}

// Returns the message of the lowest weight that waits for the same bottleneck, which may be `message` itself.
// The bottleneck is the pace of its destination, or the concurrent calls if their limit was reached.
inline Message& FindLowestWeight(const PolicyState& state, const Destination& own_destination,
                                 Message& message) {
  Minimum<Message*> lowest{&message, Weight(state, message)};
  const auto search = [&](const Destination& destination) {
    for (const MessageQueue& queue : destination.ready) {
      if (!queue.empty()) lowest.Offer(queue.rbegin()->second, Weight(state, *queue.rbegin()->second));
    }
  };
  search(own_destination);
  if (!state.at_call_limit) return *lowest.item;
  for (const auto& [number, destination] : state.active_destinations) search(*destination);
  return *lowest.item;
}

// Relegates for each message of the queue that would miss its latency objective the one that FindLowestWeight
// returns. At most one other message is relegated in place of each.
inline void RelegateLate(PolicyState& state, const Destination& destination, const MessageQueue& queue) {
  const Duration expected = destination.ExpectedLatency();
  while (!queue.empty()) {
    Message& message = *queue.begin()->second;
    if (state.now + expected <= message.objective_at) break;
    Message& lowest = FindLowestWeight(state, destination, message);
    if (&lowest != &message && message.exempt_from_relegation) break;
    message.exempt_from_relegation = true;
    Dequeue(state, lowest);
    lowest.relegated = true;
    Enqueue(state, lowest);
  }
  if (!queue.empty()) state.WakeBy(queue.begin()->second->objective_at - expected + milliseconds(1));
}

// Relegates messages of all queues and computes relegated_fraction.
inline void Relegate(PolicyState& state) {
  for (const auto& [number, destination] : state.active_destinations) {
    for (const MessageQueue& queue : destination->ready) RelegateLate(state, *destination, queue);
  }
  state.relegated_fraction = state.relegated_count / std::max<double>(1, state.pending_count);
}

// What keeping the message is worth: messages of the lowest value are shed first. `seconds_ahead` is how long
// the messages that wait for the same destination take at its pace.
inline double ShedValue(const PolicyState& state, const Message& message, double seconds_ahead) {
  const double objectives = seconds_ahead / ToSeconds(message.settings->latency_objective);
  // A message that was accepted in this run has no answer yet, so rejecting it breaks no promise.
  const double age_seconds = ToSeconds(state.now - message.accepted_at);
  const double early_seconds = kEarlyRejectionFraction * ToSeconds(message.deadline - message.accepted_at);
  const bool is_promised = age_seconds > 0 && !message.first_uncertain_attempt && age_seconds < early_seconds;
  const double weight_left =
      (message.relegated ? message.settings->late_weight_fraction : 1.0) / (1 + objectives);
  return Weight(state, message) * (weight_left + (is_promised ? kEarlyRejectionPrice : 0.0));
}

// Returns the message to shed first: of the last messages in all queues, the one of the lowest value.
inline Message* FindLeastValuable(const PolicyState& state) {
  Minimum<Message*> least;
  for (const auto& [number, destination] : state.active_destinations) {
    // How long the waiting messages take at the pace. The longer that is, the less a message counts.
    const double pace = destination->endpoints.empty() ? 0.0 : destination->endpoints.front()->scope->pace;
    const double seconds_ahead = pace > 0 ? destination->waiting_count / pace : 0.0;
    for (const auto* queues : {&destination->relegated, &destination->ready}) {
      for (const MessageQueue& queue : *queues) {
        if (queue.empty()) continue;
        Message* const last = queue.rbegin()->second;
        least.Offer(last, ShedValue(state, *last, seconds_ahead));
      }
    }
  }
  return least.item;
}

// Gives up the least valuable messages shortly before the limit of pending messages is reached. Beyond the
// limit the host rejects messages that the policy never sees, whatever their value.
inline void ShedOverflow(PolicyState& state) {
  const int limit = state.settings.max_pending_messages;
  const int margin = std::max(1, static_cast<int>(kShedMarginFraction * limit));
  while (state.pending_count > limit - margin) {
    Message* const least = FindLeastValuable(state);
    if (least == nullptr) return;
    GiveUp(state, *least);
  }
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_MESSAGE_QUEUES_H_
