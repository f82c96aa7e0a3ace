// The journal's index of live messages: the segment that contains the state of each message, its latest
// record, and the disk space that it may need. Also lists the messages whose records have yet to be written
// or synced. Owned by the journal and used on the thread of the event loop only.
#ifndef SAGETALLY_SRC_JOURNAL_LIVE_MESSAGE_INDEX_H_
#define SAGETALLY_SRC_JOURNAL_LIVE_MESSAGE_INDEX_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/message.h"

namespace sagetally {

// The index entry of one message.
struct LiveMessage {
  std::uint64_t segment = 0;        // number of the segment that contains its state; 0 before it is written
  std::uint64_t last_sequence = 0;  // sequence number of its latest record
  std::uint32_t ordinal = 0;        // ordinal of its latest record (see EncodeState)
  std::uint32_t live_bytes = 0;     // as returned by MaxLiveBytes
  std::uint32_t future_bytes = 0;   // as returned by MaxFutureRecordBytes
  bool has_unwritten_records = false;  // whether its latest records could not be written
};

// A message that was removed from the message table, for the record of its removal.
struct RemovedMessage {
  std::uint64_t number = 0;
  std::uint32_t ordinal = 0;        // ordinal of the record of its removal
  std::uint64_t last_sequence = 0;  // sequence number of its latest record
};

class LiveMessageIndex {
 public:
  // Returns null if the message is not in the index.
  LiveMessage* Find(std::uint64_t number);
  const LiveMessage* Find(std::uint64_t number) const;
  // Returns the entry of the message, which is added if it is not in the index yet.
  LiveMessage& Insert(std::uint64_t number) { return messages_[number]; }
  // Removes the entry of the message. Does nothing if it is not in the index.
  void Erase(std::uint64_t number);
  // Updates the byte counts after a change of the message.
  void UpdateSizes(const Message& message, LiveMessage& entry);
  // Returns the numbers of the messages that have a record with a higher sequence number, in ascending order.
  std::vector<std::uint64_t> FindWrittenAfter(std::uint64_t sequence) const;

  // Sums of LiveMessage::live_bytes and LiveMessage::future_bytes over all live messages.
  std::uint64_t live_bytes() const { return live_bytes_; }
  std::uint64_t future_bytes() const { return future_bytes_; }

  // Numbers of the messages whose latest records could not be written. Their whole state has to be written
  // instead.
  std::set<std::uint64_t>& unwritten_messages() { return unwritten_messages_; }
  // Messages that were removed while they had unwritten records: the ordinal of the record of the removal, by
  // message number.
  std::map<std::uint64_t, std::uint32_t>& unwritten_removals() { return unwritten_removals_; }
  bool has_unwritten_records() const { return !unwritten_messages_.empty() || !unwritten_removals_.empty(); }
  // Messages that were removed while their latest record was not synced yet, oldest first.
  std::deque<RemovedMessage>& unsynced_removals() { return unsynced_removals_; }

 private:
  void SubtractSizes(const LiveMessage& entry);

  std::unordered_map<std::uint64_t, LiveMessage> messages_;
  std::set<std::uint64_t> unwritten_messages_;
  std::map<std::uint64_t, std::uint32_t> unwritten_removals_;
  std::deque<RemovedMessage> unsynced_removals_;
  std::uint64_t live_bytes_ = 0;
  std::uint64_t future_bytes_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_LIVE_MESSAGE_INDEX_H_
