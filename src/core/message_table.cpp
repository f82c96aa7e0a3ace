#include "core/message_table.h"

#include <utility>
#include <vector>

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

std::size_t MessageTable::MemoryOf(const Message& message) {
  const std::size_t size = MemoryOf(message.request);
  return message.is_released ? size - kMessageBytes + kRetainedMessageBytes : size;
}

Message& MessageTable::Add(Message message) {
  if (message.number == 0) message.number = next_number_;
  next_number_ = std::max(next_number_, message.number + 1);
  const std::uint64_t number = message.number;
  numbers_by_key_[MakeDeduplicationKey(message.request)] = number;
  if (IsPending(message)) CountPending(message, 1);
  if (const Message* replaced = Find(number)) {
    memory_.Remove(MemoryOf(*replaced));
    StopRetaining(*replaced);
  }
  memory_.Add(MemoryOf(message));
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
  if (IsRetainedAfterCompletion(message)) return Release(message);
  if (!message.notification_pending) Remove(message.number);
}

// The new values release the memory of the old ones, which clear() would not do.
void MessageTable::Release(Message& message) {
  memory_.Remove(MemoryOf(message));
  message.is_released = true;
  message.request.body = std::string();
  if (is_minimizing_ && !message.notification_pending) {
    message.request.idempotency_key = std::string();
    message.request.attributes = CloudEventAttributes();
  }
  memory_.Add(MemoryOf(message));
  if (on_message_released) on_message_released(message);
}

void MessageTable::MinimizeRetained() {
  is_minimizing_ = true;
  const std::vector<RetainedMessage> retained(retained_.begin(), retained_.end());
  for (const auto& [completed_at, number] : retained) RemoveIfFinished(*Find(number));
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
  memory_.Remove(MemoryOf(message));
  StopRetaining(message);
  messages_.erase(found);
}

void MessageTable::ExpireRetained(Time now) {
  std::vector<std::uint64_t> numbers;
  std::size_t position_from_newest = retained_.size();
  for (const RetainedMessage& retained : retained_) {
    const bool is_expired = retained.completed_at + kDeduplicationWindow < now;
    if (!is_expired && position_from_newest <= kMaxRetainedMessages) break;
    if (IsRemovable(retained)) numbers.push_back(retained.number);
    --position_from_newest;
  }
  for (const std::uint64_t number : numbers) Remove(number);
}

std::optional<std::size_t> MessageTable::RemoveRetained(std::uint64_t needed, const Gain& gain) {
  std::uint64_t gained = 0;
  std::vector<std::uint64_t> numbers;
  for (auto retained = retained_.begin(); retained != retained_.end() && gained < needed; ++retained) {
    const std::uint64_t gain_of_message = IsRemovable(*retained) ? gain(*Find(retained->number)) : 0;
    if (gain_of_message > 0) numbers.push_back(retained->number);
    gained += gain_of_message;
  }
  if (gained < needed) return std::nullopt;
  for (const std::uint64_t number : numbers) Remove(number);
  return numbers.size();
}

bool MessageTable::IsRemovable(const RetainedMessage& retained) {
  const Message& message = *Find(retained.number);
  return !message.notification_pending && !message.is_in_flight && message.is_response_sent;
}

void MessageTable::Retain(const Message& message) {
  retained_.insert({message.completed_at, message.number});
}

void MessageTable::StopRetaining(const Message& message) {
  retained_.erase({message.completed_at, message.number});
}

}  // namespace sagetally
