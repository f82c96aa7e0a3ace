// Pending messages, and what gives way if not all arrive in time (as in NIYAMA): what would miss its latency
// objective is relegated, lower weight first; what cannot arrive any more, or is too much, is given up.
#ifndef SAGETALLY_SRC_POLICY_MESSAGE_QUEUES_H_
#define SAGETALLY_SRC_POLICY_MESSAGE_QUEUES_H_

#include "policy/policy_state.h"

namespace sagetally::policy {

constexpr double kShedMargin = 0.04;  // of max_pending_messages is kept free
// A rejection before this part of a message's time breaks a promise, and costs this part of its weight.
constexpr double kEarlyRejectionFraction = 0.7, kEarlyRejectionPrice = 0.3;

inline MessageQueue& QueueOf(const Message& message) {
  return (message.relegated ? message.target->relegated : message.target->ready)[message.message_class];
}

inline void Enqueue(PolicyState& state, Message& message) {
  QueueOf(message)[{message.arrived_at, message.number}] = &message;
  if (message.target->waiting_count++ == 0) state.active[message.target->number] = message.target;
  state.relegated_count += message.relegated ? 1 : 0;
}

inline void Dequeue(PolicyState& state, const Message& message) {
  if (QueueOf(message).erase({message.arrived_at, message.number}) == 0) return;
  --message.target->waiting_count;  // an empty destination stays active until the end of the run
  state.relegated_count -= message.relegated ? 1 : 0;
}

// The first message that no other one with its ordering key holds back, or nullptr.
inline Message* NextMessage(PolicyState& state, const MessageQueue& queue) {
  for (const auto& [place, message] : queue) {
    if (message->key.empty()) return message;
    const OrderingKeyQueue& key_queue = state.ordering_keys[message->key];
    if (key_queue.messages.front() != message) continue;
    if (key_queue.quiet_until <= state.now) return message;
    state.WakeBy(key_queue.quiet_until);
  }
  return nullptr;
}

// Whether the destination has forgotten the idempotency key of a message that may have run, after `delay`.
inline bool HasKeyExpired(const PolicyState& state, const Message& message, Duration delay = kMinAnswerTime) {
  const Time then = state.now + delay;
  const Time ran_at =
      message.first_uncertain_attempt.value_or(message.call != nullptr ? message.sent_at : then);
  return message.HasIdempotencyKey() && then > ran_at + message.settings->deduplication_window;
}

inline void ScheduleDeduplicationEnd(PolicyState& state, const Message& message) {
  if (!message.first_uncertain_attempt || !message.HasIdempotencyKey()) return;
  const Duration window = message.settings->deduplication_window;
  state.deduplication_ends.Add(*message.first_uncertain_attempt + window - kMinAnswerTime, message.id);
}

inline void EraseIfDone(PolicyState& state, const Message& message) {
  if (!message.has_ended || message.call != nullptr) return;
  if (!message.key.empty()) std::erase(state.ordering_keys[message.key].messages, &message);
  state.messages.erase(message.id);
}

// The message is owed no answer any more. It is erased once its last attempt has ended.
inline void EndMessage(PolicyState& state, Message& message) {
  Dequeue(state, message);
  message.has_ended = true;
  --state.pending_count;
  EraseIfDone(state, message);
}

// A rejection says that trying again is harmless: only if nothing may have run, or the class allows it.
inline bool IsSafeToReject(const Message& message) {
  if (!message.first_uncertain_attempt) return true;
  return message.HasIdempotencyKey() ? message.settings->key_scope == KeyScope::kAll
                                     : !message.IsNotIdempotent();
}

inline void GiveUp(PolicyState& state, Message& message) {
  Duration wait(0);
  for (const Endpoint* endpoint : message.target->endpoints) {
    const Time until = std::max(endpoint->scope->retry_after_until, endpoint->half_open_at);
    if (endpoint->accepts_calls) wait = std::max(wait, until - state.now);
  }
  wait = std::min(wait,
                  state.settings.retry_after_allowed ? state.settings.max_client_retry_after : Duration(0));
  state.Emit(IsSafeToReject(message) ? Action(RejectMessage{message.id, wait}) : FailMessage{message.id});
  EndMessage(state, message);
}

// By the mean latency: a wrong rejection costs more than a wrong place.
inline void GiveUpLate(PolicyState& state) {
  while (const std::optional<std::string> id = state.deduplication_ends.PopBefore(state.now)) {
    const auto entry = state.messages.find(*id);
    // A message in flight ends by its outcome.
    if (entry == state.messages.end() || entry->second.call != nullptr || entry->second.has_ended) continue;
    GiveUp(state, entry->second);
  }
  if (const auto next = state.deduplication_ends.NextExpiry()) state.WakeBy(*next + milliseconds(1));
  for (auto& [number, destination] : state.active) {
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

// Past its tenant's quota a message weighs less, by own traffic against an even split of the quota.
inline double Weight(const PolicyState& state, const Message& message) {
  const double weight = message.settings->priority_weight;
  if (static_cast<std::size_t>(message.tenant) >= state.tenant_usage.size()) return weight;
  const double quota = state.settings.tenants[message.tenant].quota_per_second;
  if (quota <= 0) return weight;
  const double usage = state.tenant_usage[message.tenant].At(state.now) * state.settings.dispatcher_count;
  const double within = std::min(1.0, quota / std::max(usage, 1e-9));
  return weight * (within + (1 - within) * state.settings.over_quota_weight);
}

// The message itself, or one of lower weight at the same bottleneck: its destination's pace, or the calls.
inline Message& FindLowestWeight(const PolicyState& state, const Destination& own, Message& message) {
  Minimum<Message*> lowest{&message, Weight(state, message)};
  const auto search = [&](const Destination& destination) {
    for (const MessageQueue& queue : destination.ready) {
      if (!queue.empty()) lowest.Offer(queue.rbegin()->second, Weight(state, *queue.rbegin()->second));
    }
  };
  search(own);
  if (!state.at_call_limit) return *lowest.item;
  for (const auto& [number, destination] : state.active) search(*destination);
  return *lowest.item;
}

inline void RelegateLate(PolicyState& state, const Destination& destination, const MessageQueue& queue) {
  const Duration expected = destination.ExpectedLatency();
  while (!queue.empty()) {
    Message& message = *queue.begin()->second;
    if (state.now + expected <= message.objective_at) break;
    Message& lowest = FindLowestWeight(state, destination, message);
    if (&lowest != &message && message.exempted) break;
    message.exempted = true;
    Dequeue(state, lowest);
    lowest.relegated = true;
    Enqueue(state, lowest);
  }
  if (!queue.empty()) state.WakeBy(queue.begin()->second->objective_at - expected + milliseconds(1));
}

inline void Relegate(PolicyState& state) {
  for (const auto& [number, destination] : state.active) {
    for (const MessageQueue& queue : destination->ready) RelegateLate(state, *destination, queue);
  }
  state.relegated_fraction = state.relegated_count / std::max<double>(1, state.pending_count);
}

inline double Value(const PolicyState& state, const Message& message, double seconds_ahead) {
  const double objectives = seconds_ahead / ToSeconds(message.settings->latency_objective);
  // What came just now has no answer yet: rejecting it breaks no promise.
  const double age = ToSeconds(state.now - message.accepted_at);
  const double early = kEarlyRejectionFraction * ToSeconds(message.deadline - message.accepted_at);
  const bool is_promised = age > 0 && !message.first_uncertain_attempt && age < early;
  const double left = (message.relegated ? message.settings->late_weight_fraction : 1.0) / (1 + objectives);
  return Weight(state, message) * (left + (is_promised ? kEarlyRejectionPrice : 0.0));
}

inline Message* FindLeastValuable(const PolicyState& state) {
  Minimum<Message*> least;
  for (const auto& [number, destination] : state.active) {
    // What waits ahead at the pace: a message far back counts for little.
    const double pace = destination->endpoints.empty() ? 0.0 : destination->endpoints.front()->scope->pace;
    const double seconds_ahead = pace > 0 ? destination->waiting_count / pace : 0.0;
    for (const auto* queues : {&destination->relegated, &destination->ready}) {
      for (const MessageQueue& queue : *queues) {
        if (queue.empty()) continue;
        Message* const last = queue.rbegin()->second;
        least.Offer(last, Value(state, *last, seconds_ahead));
      }
    }
  }
  return least.item;
}

// What comes beyond the limit of pending messages is rejected unseen, so the least valuable goes before that.
inline void ShedOverflow(PolicyState& state) {
  const int limit = state.settings.max_pending_messages;
  const int margin = std::max(1, static_cast<int>(kShedMargin * limit));
  while (state.pending_count > limit - margin) {
    Message* const least = FindLeastValuable(state);
    if (least == nullptr) return;
    GiveUp(state, *least);
  }
}

}  // namespace sagetally::policy

#endif  // SAGETALLY_SRC_POLICY_MESSAGE_QUEUES_H_
