// What the journal's records say of messages, and how a log of them is applied to a ledger. docs/format.md is
// the page of the form.
#ifndef SAGETALLY_SRC_JOURNAL_RECORDS_H_
#define SAGETALLY_SRC_JOURNAL_RECORDS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/message_table.h"

namespace sagetally {

enum class RecordKind : char {
  kState = 'S',    // a message as it stands; replaces what was known of it
  kBatch = 'B',    // several of them, whole or not at all
  kAttempt = 'A',  // a call is about to go out
  kOutcome = 'O',
  kCompletion = 'E',
  kNotified = 'N',      // its notice was heard
  kDeadLettered = 'K',  // the store of kept messages has it
  kRemoved = 'G'        // forgotten while its last records could not be written
};

// `ordinal`: how many records of this message there were before this one. One that is missing shows as a
// step.
std::string EncodeState(const Message& message, std::uint32_t ordinal);
std::string EncodeBatch(std::span<const std::string> states);
std::string EncodeAttempt(const Message& message, std::uint32_t ordinal);
std::string EncodeOutcome(const Message& message, std::uint32_t ordinal, Outcome outcome);
std::string EncodeCompletion(const Message& message, std::uint32_t ordinal);
std::string EncodeBareRecord(RecordKind kind, std::uint64_t number,
                             std::uint32_t ordinal);  // told, kept, gone

// Reads a state as StateRecord writes it. False: it can't be read.
bool DecodeState(std::string_view record, Message& message, std::uint32_t& ordinal);

// At most this much of the disk that a message's records may still take: attempts, outcomes, end, notice.
std::size_t MaxFutureRecordBytes(const Message& message);
// The same, with its state.
std::size_t MaxLiveBytes(const Message& message);

// A call that was out when its process ended, or how it came back is not known.
void MarkUncertainAttempt(Message& message);

// Applies records in the order of their sequence numbers.
class RecordApplier {
 public:
  explicit RecordApplier(MessageTable& ledger) : messages_(ledger) {}

  struct MessageTrace {  // of one message that lives
    std::uint32_t ordinal = 0;
    std::uint64_t first_sequence = 0,
                  last_sequence = 0;  // sequence numbers of its state and its latest record
    std::uint64_t segment = 0;        // that holds its state
    bool has_gap = false;             // a record of it is missing
  };
  // False: the record can't be read.
  bool Apply(std::string_view record, std::uint64_t sequence, std::uint64_t segment);
  // Records from `from` up to before `to` are missing.
  void AddMissingRange(std::uint64_t from, std::uint64_t to) { gaps_.emplace_back(from, to); }

  // Once all is read: closes calls that were out, and takes messages with an incomplete history for ones that
  // may have run. Their numbers.
  std::vector<std::uint64_t> Finish();
  // Messages whose state is missing and of which no end was heard.
  std::size_t lost_message_count() const { return messages_without_state_.size(); }
  const std::unordered_map<std::uint64_t, MessageTrace>& traces() const { return traces_; }
  Timestamp latest_timestamp() const { return latest_timestamp_; }  // the latest one that an attempt tells
  std::uint64_t highest_number() const { return highest_number_; }

 private:
  bool ApplyState(std::string_view record, std::uint64_t sequence, std::uint64_t segment);
  MessageTable& messages_;
  std::unordered_map<std::uint64_t, MessageTrace> traces_;
  std::map<std::uint64_t, std::uint64_t> messages_without_state_;  // number, sequence of its first record
  std::vector<std::pair<std::uint64_t, std::uint64_t>> gaps_;
  Timestamp latest_timestamp_;
  std::uint64_t highest_number_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_RECORDS_H_
