// Encodes and decodes the records that the journal appends for each event of a message. docs/format.md
// describes the format. Pure functions, called by the journal and by its replay.
#ifndef SAGETALLY_SRC_JOURNAL_RECORDS_H_
#define SAGETALLY_SRC_JOURNAL_RECORDS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/message.h"

namespace sagetally {

// The first byte of a record.
enum class RecordKind : char {
  kState = 'S',         // all fields of a message; replaces what earlier records said of it
  kBatch = 'B',         // several states, which are recovered either all or not at all
  kAttempt = 'A',       // an attempt is about to be sent
  kOutcome = 'O',       // the outcome of the last attempt
  kCompletion = 'E',    // the message has its final status
  kNotified = 'N',      // the client has acknowledged the notification
  kDeadLettered = 'K',  // the dead-letter store holds the message, or never will
  kRemoved = 'G'        // the message was removed from the table while its last records could not be written
};

// Each record of a message contains an ordinal, which counts the records of the message from 1, so that the
// replay notices a missing one.
//
// Encodes all fields of the message.
std::string EncodeState(const Message& message, std::uint32_t ordinal);
// Encodes several states, each of which EncodeState has encoded, as one record.
std::string EncodeBatch(std::span<const std::string> states);
// Encodes the start of the message's latest attempt.
std::string EncodeAttempt(const Message& message, std::uint32_t ordinal);
// Encodes the outcome of the message's latest attempt.
std::string EncodeOutcome(const Message& message, std::uint32_t ordinal, Outcome outcome);
// Encodes the message's final status.
std::string EncodeCompletion(const Message& message, std::uint32_t ordinal);
// Encodes a record that has no fields besides its kind, the message's number and the ordinal. `kind` is
// kNotified, kDeadLettered or kRemoved.
std::string EncodeBareRecord(RecordKind kind, std::uint64_t number, std::uint32_t ordinal);

struct DecodedState {
  Message message;
  std::uint32_t ordinal = 0;
};
// Reads what EncodeState wrote. Returns nothing if `record` is malformed.
std::optional<DecodedState> DecodeState(std::string_view record);

// Returns an upper bound, in bytes, of the further records of a message: attempts, outcomes, completion and
// notification.
std::size_t MaxFutureRecordBytes(const Message& message);
// Returns an upper bound, in bytes, of the message's state and its further records.
std::size_t MaxLiveBytes(const Message& message);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_RECORDS_H_
