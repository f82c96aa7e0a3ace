// Applies the records of a journal to a message table and finds messages of which records are missing. Used
// by the replay; does no I/O and is used by one thread only.
#ifndef SAGETALLY_SRC_JOURNAL_RECORD_APPLIER_H_
#define SAGETALLY_SRC_JOURNAL_RECORD_APPLIER_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/byte_codec.h"
#include "core/message_table.h"
#include "journal/records.h"

namespace sagetally {

// A range of sequence numbers whose records are known to be lost.
struct MissingRecords {
  std::uint64_t from = 0;  // the first missing record
  std::uint64_t to = 0;    // one past the last missing record
};

// Call Apply for each record in the order of the sequence numbers, AddMissingRange for each gap, and then
// Finish once.
class RecordApplier {
 public:
  // Keeps a reference to `messages`, which must outlive it.
  explicit RecordApplier(MessageTable& messages) : messages_(messages) {}

  // What the records applied so far say about one message of the table.
  struct ReplayedMessage {
    std::uint32_t ordinal = 0;         // ordinal of its latest record (see EncodeState)
    std::uint64_t first_sequence = 0;  // sequence number of its latest state
    std::uint64_t last_sequence = 0;   // sequence number of its latest record
    std::uint64_t segment = 0;         // number of the segment that contains its latest state
    bool has_gap = false;              // whether the ordinals show that one of its records is missing
  };
  // Applies one record, which was read from the segment with the number `segment`. Returns false if the
  // record is malformed.
  bool Apply(std::string_view record, std::uint64_t sequence, std::uint64_t segment);
  // Reports that the records from `from` up to, but not including, `to` are missing.
  void AddMissingRange(std::uint64_t from, std::uint64_t to) { missing_.push_back({from, to}); }

  // Ends attempts that are in flight and marks them as uncertain. Pending messages with an incomplete history
  // are marked as possibly run, too; returns the numbers of these.
  std::vector<std::uint64_t> Finish();
  // Returns the number of messages whose state is missing and that have no record of an end. Valid after
  // Finish.
  std::size_t lost_message_count() const { return messages_without_state_.size(); }
  // By message number.
  const std::unordered_map<std::uint64_t, ReplayedMessage>& replayed_messages() const {
    return replayed_messages_;
  }
  // Returns the latest time at which an attempt was sent.
  Timestamp latest_timestamp() const { return latest_timestamp_; }
  // Returns the highest message number in any record; 0 without records.
  std::uint64_t highest_number() const { return highest_number_; }

 private:
  bool ApplyState(std::string_view record, std::uint64_t sequence, std::uint64_t segment);
  bool ApplyBatch(ByteReader& in, std::uint64_t sequence, std::uint64_t segment);
  // Applies a record other than a state. Returns false if its kind or outcome is unknown.
  bool ApplyEvent(RecordKind kind, ByteReader& in, Message& message);
  void ApplyAttempt(ByteReader& in, Message& message);
  static bool ApplyOutcome(ByteReader& in, Message& message);
  void ApplyCompletion(ByteReader& in, Message& message);
  // Keeps track of messages that have records but no state in the table.
  void TrackMessageWithoutState(RecordKind kind, std::uint64_t number, std::uint64_t sequence);
  // Returns whether a record of the message is, or may be, missing.
  bool HasIncompleteHistory(const ReplayedMessage& replayed) const;

  MessageTable& messages_;
  std::unordered_map<std::uint64_t, ReplayedMessage> replayed_messages_;
  // The sequence number of the first record of each message that has no state, by message number.
  std::map<std::uint64_t, std::uint64_t> messages_without_state_;
  std::vector<MissingRecords> missing_;
  Timestamp latest_timestamp_;
  std::uint64_t highest_number_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_RECORD_APPLIER_H_
