#include "journal/live_message_index.h"

#include <algorithm>

#include "journal/records.h"

namespace sagetally {

LiveMessage* LiveMessageIndex::Find(std::uint64_t number) {
  const auto entry = messages_.find(number);
  return entry == messages_.end() ? nullptr : &entry->second;
}

const LiveMessage* LiveMessageIndex::Find(std::uint64_t number) const {
  const auto entry = messages_.find(number);
  return entry == messages_.end() ? nullptr : &entry->second;
}

void LiveMessageIndex::Erase(std::uint64_t number) {
  const auto entry = messages_.find(number);
  if (entry == messages_.end()) return;
  SubtractSizes(entry->second);
  messages_.erase(entry);
}

void LiveMessageIndex::UpdateSizes(const Message& message, LiveMessage& entry) {
  SubtractSizes(entry);
  entry.live_bytes = static_cast<std::uint32_t>(MaxLiveBytes(message));
  entry.future_bytes = static_cast<std::uint32_t>(MaxFutureRecordBytes(message));
  live_bytes_ += entry.live_bytes;
  future_bytes_ += entry.future_bytes;
}

std::vector<std::uint64_t> LiveMessageIndex::FindWrittenAfter(std::uint64_t sequence) const {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, entry] : messages_) {
    if (entry.last_sequence > sequence) numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

void LiveMessageIndex::SubtractSizes(const LiveMessage& entry) {
  live_bytes_ -= entry.live_bytes;
  future_bytes_ -= entry.future_bytes;
}

}  // namespace sagetally
