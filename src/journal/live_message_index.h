// What the journal knows of each live message: where its state stands, its latest record, and the disk space
// it may need. Also the records that are still to be written or synced.
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

struct LiveMessage {
  std::uint64_t segment = 0;        // that holds its state; 0: none yet
  std::uint64_t last_sequence = 0;  // sequence number of its latest record
  std::uint32_t ordinal = 0;        // of its latest record
  std::uint32_t live_bytes = 0;     // MaxLiveBytes
  std::uint32_t future_bytes = 0;   // MaxFutureRecordBytes
  bool has_unwritten_records = false;
};

// A message that left the table, and the ordinal of the record that says so.
struct RemovedMessage {
  std::uint64_t number = 0;
  std::uint32_t ordinal = 0;
  std::uint64_t last_sequence = 0;  // of its records
};

class LiveMessageIndex {
 public:
  // Null if the message isn't in the index.
  LiveMessage* Find(std::uint64_t number);
  const LiveMessage* Find(std::uint64_t number) const;
  LiveMessage& Insert(std::uint64_t number) { return messages_[number]; }
  void Erase(std::uint64_t number);
  // Updates the byte counts after a change of the message.
  void UpdateSizes(const Message& message, LiveMessage& entry);
  // Numbers of messages with records after `sequence`, in order.
  std::vector<std::uint64_t> WrittenAfter(std::uint64_t sequence) const;

  // Sums over all live messages.
  std::uint64_t live_bytes() const { return live_bytes_; }
  std::uint64_t future_bytes() const { return future_bytes_; }

  // Messages whose latest records could not be written; their whole state has to be.
  std::set<std::uint64_t>& unwritten_messages() { return unwritten_messages_; }
  // Messages removed with unwritten records: by number, the ordinal of the record of their removal.
  std::map<std::uint64_t, std::uint32_t>& unwritten_removals() { return unwritten_removals_; }
  bool has_unwritten_records() const { return !unwritten_messages_.empty() || !unwritten_removals_.empty(); }
  // Messages removed by records that are not synced yet, oldest first.
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
