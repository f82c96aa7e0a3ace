// Applies the journal's records to a message table, and finds messages of which records are missing.
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

// Records known to be lost: their sequence numbers, the second one past the last.
struct MissingRecords {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
};

// Call Apply for each record in the order of sequence numbers, AddMissingRange for each gap, then Finish
// once.
class RecordApplier {
 public:
  explicit RecordApplier(MessageTable& messages) : messages_(messages) {}

  // What the records say of one message that is in the table.
  struct MessageTrace {
    std::uint32_t ordinal = 0;         // of its latest record
    std::uint64_t first_sequence = 0;  // of its state
    std::uint64_t last_sequence = 0;   // of its latest record
    std::uint64_t segment = 0;         // that holds its state
    bool has_gap = false;              // a record of it is missing
  };
  // Returns false if the record is malformed.
  bool Apply(std::string_view record, std::uint64_t sequence, std::uint64_t segment);
  // Records from `from` up to before `to` are missing.
  void AddMissingRange(std::uint64_t from, std::uint64_t to) { missing_.push_back({from, to}); }

  // Once all records are applied: closes attempts in flight, and marks pending messages with an incomplete
  // history as ones that may have run. Gives their numbers.
  std::vector<std::uint64_t> Finish();
  // Messages whose state is missing and that have no record of an end. Valid after Finish.
  std::size_t lost_message_count() const { return messages_without_state_.size(); }
  // By message number.
  const std::unordered_map<std::uint64_t, MessageTrace>& traces() const { return traces_; }
  // The latest moment that an attempt was sent.
  Timestamp latest_timestamp() const { return latest_timestamp_; }
  std::uint64_t highest_number() const { return highest_number_; }

 private:
  bool ApplyState(std::string_view record, std::uint64_t sequence, std::uint64_t segment);
  bool ApplyBatch(ByteReader& in, std::uint64_t sequence, std::uint64_t segment);
  // Applies a record other than a state. Returns false if its kind or outcome is unknown.
  bool ApplyEvent(RecordKind kind, ByteReader& in, Message& message);
  void ApplyAttempt(ByteReader& in, Message& message);
  static bool ApplyOutcome(ByteReader& in, Message& message);
  void ApplyCompletion(ByteReader& in, Message& message);
  void NoteWithoutState(RecordKind kind, std::uint64_t number, std::uint64_t sequence);
  bool HasIncompleteHistory(const MessageTrace& trace) const;

  MessageTable& messages_;
  std::unordered_map<std::uint64_t, MessageTrace> traces_;
  // By message number: the sequence number of its first record.
  std::map<std::uint64_t, std::uint64_t> messages_without_state_;
  std::vector<MissingRecords> missing_;
  Timestamp latest_timestamp_;
  std::uint64_t highest_number_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_RECORD_APPLIER_H_
