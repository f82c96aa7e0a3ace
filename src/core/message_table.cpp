#include "core/message_table.h"

#include <utility>

namespace sagetally {
namespace {

// Each ingress protocol has its own id space, so the key contains the protocol.
std::string MakeDeduplicationKey(const Request& request) {
  return (request.protocol == IngressProtocol::kCloudEvents ? "e" : "p") + request.id;
}

// Rejected events are not retained, because an event that is submitted again after a rejection is a new
// message.
bool IsRetainedAfterCompletion(const Message& message) {
  return message.request.protocol == IngressProtocol::kCloudEvents &&
         message.final_status != FinalStatus::kRejected;
}

bool IsPending(const Message& message) { return message.final_status == FinalStatus::kPending; }

}  // namespace

std::size_t MessageTable::MemoryOf(const Request& request) {
  std::size_t size = kMessageBytes + request.id.size() + request.idempotency_key.size() + request.body.size();
  for (const auto& [name, value] : request.attributes) size += name.size() + value.size();
  return size;
}

Message& MessageTable::Add(Message message) {
  if (message.number == 0) message.number = next_number_;
  next_number_ = std::max(next_number_, message.number + 1);
  const std::uint64_t number = message.number;
  numbers_by_key_[MakeDeduplicationKey(message.request)] = number;
  if (IsPending(message)) CountPending(message, 1);
  if (const Message* replaced = Find(number)) memory_.Remove(MemoryOf(replaced->request));
  memory_.Add(MemoryOf(message.request));
  Message& added = messages_.insert_or_assign(number, std::move(message)).first->second;
  // Only the journal's replay adds messages that have completed already.
  if (!IsPending(added) && !added.dead_letter_pending) Retain(added);
  return added;
}

void MessageTable::CountPending(const Message& message, int change) {
  pending_count_ += change;
  if (message.client == 0) return;
  const auto entry = pending_by_client_.try_emplace(message.client, 0).first;
  entry->second += change;
  if (entry->second == 0) pending_by_client_.erase(entry);
}

int MessageTable::PendingCountOf(std::uint64_t client) const {
  const auto found = pending_by_client_.find(client);
  return found == pending_by_client_.end() ? 0 : found->second;
}

Message* MessageTable::Find(std::uint64_t number) {
  const auto found = messages_.find(number);
  return found == messages_.end() ? nullptr : &found->second;
}

Message* MessageTable::FindDuplicate(const Request& request) {
  const auto found = numbers_by_key_.find(MakeDeduplicationKey(request));
  return found == numbers_by_key_.end() ? nullptr : Find(found->second);
}

void MessageTable::Complete(Message& message, FinalStatus final_status, Duration retry_after, Time now) {
  if (!IsPending(message)) return;
  message.final_status = final_status;
  message.retry_after = retry_after;
  message.completed_at = now;
  if (message.request.protocol == IngressProtocol::kPlatform) {
    id_history_.Add(message.request, SubmissionOutcome::kAccepted, now, message.deadline);
  }
  // No client waits for a redrive, because it was notified when the original message completed.
  const bool has_waiting_client = message.redrive_number == 0;
  message.notification_pending =
      has_waiting_client && (final_status == FinalStatus::kFailed || final_status == FinalStatus::kRejected);
  CountPending(message, -1);
  if (IsRetainedAfterCompletion(message) && !message.dead_letter_pending) Retain(message);
}

void MessageTable::SetDeliveryUnconfirmed(Message& message, bool is_unconfirmed) {
  if (message.is_delivery_unconfirmed == is_unconfirmed) return;
  message.is_delivery_unconfirmed = is_unconfirmed;
  unconfirmed_count_ += is_unconfirmed ? 1 : -1;
}

void MessageTable::MarkDeadLettered(Message& message) {
  if (!message.dead_letter_pending) return;
  message.dead_letter_pending = false;
  if (IsRetainedAfterCompletion(message)) Retain(message);
  RemoveIfFinished(message);
}

void MessageTable::RemoveIfFinished(Message& message) {
  if (IsPending(message) || message.is_in_flight || !message.is_response_sent ||
      message.dead_letter_pending) {
    return;
  }
  if (IsRetainedAfterCompletion(message)) {
    memory_.Remove(message.request.body.size());
    message.request.body = std::string();  // releases the memory of the body, which clear() would not do
    return;
  }
  if (!message.notification_pending) Remove(message.number);
}

void MessageTable::Remove(std::uint64_t number) {
  const auto found = messages_.find(number);
  if (found == messages_.end()) return;
  const Message& message = found->second;
  if (on_message_removed) on_message_removed(message);
  const auto key = numbers_by_key_.find(MakeDeduplicationKey(message.request));
  if (key != numbers_by_key_.end() && key->second == number) numbers_by_key_.erase(key);
  if (IsPending(message)) CountPending(message, -1);
  if (message.is_delivery_unconfirmed) --unconfirmed_count_;
  memory_.Remove(MemoryOf(message.request));
  messages_.erase(found);
}

void MessageTable::ExpireRetained(Time now) {
  const auto is_expired = [now](const RetainedMessage& retained) {
    return retained.completed_at + kDeduplicationWindow < now;
  };
  const bool is_any_expired = !retained_.empty() && is_expired(retained_.front());
  if (!is_any_expired && retained_.size() <= kMaxRetainedMessages) return;
  for (auto oldest = FindOldestRemovable(); oldest != retained_.end(); oldest = FindOldestRemovable()) {
    const auto position_from_newest = static_cast<std::size_t>(retained_.end() - oldest);
    if (!is_expired(*oldest) && position_from_newest <= kMaxRetainedMessages) return;
    RemoveRetained(oldest);
  }
}

bool MessageTable::RemoveOldestRetained() {
  const auto oldest = FindOldestRemovable();
  if (oldest == retained_.end()) return false;
  RemoveRetained(oldest);
  return true;
}

std::deque<MessageTable::RetainedMessage>::iterator MessageTable::FindOldestRemovable() {
  return std::ranges::find_if(retained_, [this](const RetainedMessage& retained) {
    const Message* message = Find(retained.number);
    return message == nullptr ||
           (!message->notification_pending && !message->is_in_flight && message->is_response_sent);
  });
}

void MessageTable::RemoveRetained(const std::deque<RetainedMessage>::iterator& retained) {
  const std::uint64_t number = retained->number;
  retained_.erase(retained);
  Remove(number);
}

void MessageTable::Retain(const Message& message) {
  retained_.push_back({message.completed_at, message.number});
}

}  // namespace sagetally
