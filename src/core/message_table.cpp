#include "core/message_table.h"

#include <utility>

namespace sagetally {
namespace {

// The two protocols have id spaces of their own.
std::string DeduplicationKey(const Request& request) {
  return (request.protocol == IngressProtocol::kCloudEvents ? "e" : "p") + request.id;
}

// A rejected event is not retained: submitted again, it is a new message.
bool IsRetainedAfterEnd(const Message& message) {
  return message.request.protocol == IngressProtocol::kCloudEvents &&
         message.final_status != FinalStatus::kRejected;
}

bool IsPending(const Message& message) { return message.final_status == FinalStatus::kPending; }

}  // namespace

Message& MessageTable::Add(Message message) {
  if (message.number == 0) message.number = next_number_;
  next_number_ = std::max(next_number_, message.number + 1);
  const std::uint64_t number = message.number;
  numbers_by_key_[DeduplicationKey(message.request)] = number;
  if (IsPending(message)) ++pending_count_;
  Message& added = messages_.insert_or_assign(number, std::move(message)).first->second;
  // Only the journal's replay adds ended messages.
  if (!IsPending(added) && !added.dead_letter_pending) Retain(added);
  return added;
}

Message* MessageTable::Find(std::uint64_t number) {
  const auto found = messages_.find(number);
  return found == messages_.end() ? nullptr : &found->second;
}

Message* MessageTable::FindDuplicate(const Request& request) {
  const auto found = numbers_by_key_.find(DeduplicationKey(request));
  return found == numbers_by_key_.end() ? nullptr : Find(found->second);
}

void MessageTable::Complete(Message& message, FinalStatus final_status, Duration retry_after, Time now) {
  if (!IsPending(message)) return;
  message.final_status = final_status;
  message.retry_after = retry_after;
  message.completed_at = now;
  // No client waits for a redrive: it was notified when the message ended for the first time.
  const bool has_waiting_client = message.redrive_number == 0;
  message.notification_pending =
      has_waiting_client && (final_status == FinalStatus::kFailed || final_status == FinalStatus::kRejected);
  --pending_count_;
  if (IsRetainedAfterEnd(message) && !message.dead_letter_pending) Retain(message);
}

void MessageTable::MarkDeadLettered(Message& message) {
  if (!message.dead_letter_pending) return;
  message.dead_letter_pending = false;
  if (IsRetainedAfterEnd(message)) Retain(message);
  RemoveIfFinished(message);
}

void MessageTable::RemoveIfFinished(Message& message) {
  if (IsPending(message) || message.is_in_flight || !message.client_answered || message.dead_letter_pending) {
    return;
  }
  if (IsRetainedAfterEnd(message)) {
    message.request.body = std::string();  // releases its memory, which clear() does not
    return;
  }
  if (!message.notification_pending) Remove(message.number);
}

void MessageTable::Remove(std::uint64_t number) {
  const auto found = messages_.find(number);
  if (found == messages_.end()) return;
  const Message& message = found->second;
  if (on_message_removed) on_message_removed(message);
  const auto key = numbers_by_key_.find(DeduplicationKey(message.request));
  if (key != numbers_by_key_.end() && key->second == number) numbers_by_key_.erase(key);
  if (IsPending(message)) --pending_count_;
  messages_.erase(found);
}

void MessageTable::ExpireRetained(Time now) {
  while (!retained_.empty() &&
         (retained_.front().ended_at + kDeduplicationWindow < now || retained_.size() > kMaxRetained)) {
    if (!RemoveOldestRetained()) return;
  }
}

bool MessageTable::RemoveOldestRetained() {
  if (retained_.empty()) return false;
  const std::uint64_t number = retained_.front().number;
  const Message* message = Find(number);
  if (message != nullptr &&
      (message->notification_pending || message->is_in_flight || !message->client_answered)) {
    return false;
  }
  retained_.pop_front();
  if (message != nullptr) Remove(number);
  return true;
}

void MessageTable::Retain(const Message& message) {
  retained_.push_back({message.completed_at, message.number});
}

}  // namespace sagetally
