#include "core/message_table.h"

#include <algorithm>
#include <utility>

namespace sagetally {

Message& MessageTable::Add(Message message) {
  if (message.number == 0) message.number = next_number_;
  next_number_ = std::max(next_number_, message.number + 1);
  const std::uint64_t number = message.number;
  by_id_[Identity(message.request)] = number;
  pending_count_ += message.final_status == FinalStatus::kPending ? 1 : 0;
  Message& added = messages_.insert_or_assign(number, std::move(message)).first->second;
  if (added.final_status != FinalStatus::kPending && !added.dead_letter_pending)
    remembered_.emplace_back(added.ended_at, number);
  return added;
}

Message* MessageTable::Find(std::uint64_t number) {
  const auto at = messages_.find(number);
  return at == messages_.end() ? nullptr : &at->second;
}

std::string MessageTable::Identity(const Request& request) {
  return (request.protocol == IngressProtocol::kCloudEvents ? "e" : "p") + request.id;
}

Message* MessageTable::FindDuplicate(const Request& request) {
  const auto at = by_id_.find(Identity(request));
  return at == by_id_.end() ? nullptr : Find(at->second);
}

// A refused one is forgotten: the same event again is a new message.
bool MessageTable::IsRemembered(const Message& m) {
  return m.request.protocol == IngressProtocol::kCloudEvents && m.final_status != FinalStatus::kRejected;
}

void MessageTable::Complete(Message& message, enum FinalStatus end, Duration again, Time now) {
  if (message.final_status != FinalStatus::kPending) return;
  message.final_status = end;
  message.retry_after = again;
  message.ended_at = now;
  // A resend has no client that waits: its message ended once, before.
  message.notification_pending =
      (end == FinalStatus::kFailed || end == FinalStatus::kRejected) && message.redrive_number == 0;
  --pending_count_;
  if (IsRemembered(message) && !message.dead_letter_pending) remembered_.emplace_back(now, message.number);
}

void MessageTable::MarkDeadLettered(Message& message) {
  if (!message.dead_letter_pending) return;
  message.dead_letter_pending = false;
  if (IsRemembered(message)) remembered_.emplace_back(message.ended_at, message.number);
  RemoveIfFinished(message);
}

void MessageTable::RemoveIfFinished(Message& message) {
  if (message.final_status == FinalStatus::kPending || message.is_in_flight || !message.client_answered ||
      message.dead_letter_pending)
    return;
  if (IsRemembered(message)) {
    message.request.body = std::string();  // only its answer is wanted any more
    return;
  }
  if (!message.notification_pending) Remove(message.number);
}

void MessageTable::Remove(std::uint64_t number) {
  const auto at = messages_.find(number);
  if (at == messages_.end()) return;
  if (on_message_removed) on_message_removed(at->second);
  const auto named = by_id_.find(Identity(at->second.request));
  if (named != by_id_.end() && named->second == number) by_id_.erase(named);
  if (at->second.final_status == FinalStatus::kPending) --pending_count_;
  messages_.erase(at);
}

void MessageTable::ExpireRemembered(Time now) {
  while (!remembered_.empty() &&
         (remembered_.front().first + kDeduplicationTime < now || remembered_.size() > kMaxRemembered)) {
    if (!ForgetOldest()) return;
  }
}

bool MessageTable::ForgetOldest() {
  if (remembered_.empty()) return false;
  const std::uint64_t number = remembered_.front().second;
  const Message* m = Find(number);
  if (m != nullptr && (m->notification_pending || m->is_in_flight || !m->client_answered))
    return false;  // still to be told
  remembered_.pop_front();
  if (m != nullptr) Remove(number);
  return true;
}

}  // namespace sagetally
