#include "core/message_table.h"

#include <algorithm>
#include <utility>

namespace sagetally {

Message& Ledger::Add(Message message) {
  if (message.number == 0) message.number = next_;
  next_ = std::max(next_, message.number + 1);
  const std::uint64_t number = message.number;
  by_id_[Identity(message.request)] = number;
  held_ += message.end == End::kNone ? 1 : 0;
  Message& added = messages_.insert_or_assign(number, std::move(message)).first->second;
  if (added.end != End::kNone && !added.kept_owed) remembered_.emplace_back(added.ended_at, number);
  return added;
}

Message* Ledger::Find(std::uint64_t number) {
  const auto at = messages_.find(number);
  return at == messages_.end() ? nullptr : &at->second;
}

std::string Ledger::Identity(const Request& request) {
  return (request.form == Form::kEvent ? "e" : "p") + request.id;
}

Message* Ledger::FindSame(const Request& request) {
  const auto at = by_id_.find(Identity(request));
  return at == by_id_.end() ? nullptr : Find(at->second);
}

// A refused one is forgotten: the same event again is a new message.
bool Ledger::Remembers(const Message& m) { return m.request.form == Form::kEvent && m.end != End::kRefused; }

void Ledger::End(Message& message, enum End end, Duration again, Time now) {
  if (message.end != End::kNone) return;
  message.end = end;
  message.again = again;
  message.ended_at = now;
  // A resend has no client that waits: its message ended once, before.
  message.notice_owed = (end == End::kFailed || end == End::kRefused) && message.kept_as == 0;
  --held_;
  if (Remembers(message) && !message.kept_owed) remembered_.emplace_back(now, message.number);
}

void Ledger::Kept(Message& message) {
  if (!message.kept_owed) return;
  message.kept_owed = false;
  if (Remembers(message)) remembered_.emplace_back(message.ended_at, message.number);
  Settle(message);
}

void Ledger::Settle(Message& message) {
  if (message.end == End::kNone || message.out || !message.answered || message.kept_owed) return;
  if (Remembers(message)) {
    message.request.body = std::string();  // only its answer is wanted any more
    return;
  }
  if (!message.notice_owed) Remove(message.number);
}

void Ledger::Remove(std::uint64_t number) {
  const auto at = messages_.find(number);
  if (at == messages_.end()) return;
  if (on_removed) on_removed(at->second);
  const auto named = by_id_.find(Identity(at->second.request));
  if (named != by_id_.end() && named->second == number) by_id_.erase(named);
  if (at->second.end == End::kNone) --held_;
  messages_.erase(at);
}

void Ledger::Age(Time now) {
  while (!remembered_.empty() &&
         (remembered_.front().first + kRemembered < now || remembered_.size() > kMostRemembered)) {
    if (!ForgetOldest()) return;
  }
}

bool Ledger::ForgetOldest() {
  if (remembered_.empty()) return false;
  const std::uint64_t number = remembered_.front().second;
  const Message* m = Find(number);
  if (m != nullptr && (m->notice_owed || m->out || !m->answered)) return false;  // still to be told
  remembered_.pop_front();
  if (m != nullptr) Remove(number);
  return true;
}

}  // namespace sagetally
