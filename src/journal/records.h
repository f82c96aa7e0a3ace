// The journal's records: what is written for each event in a message's life. docs/format.md describes the
// form. Pure functions.
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
  kState = 'S',         // a message as it stands; replaces what was known of it
  kBatch = 'B',         // several states, on record all or none
  kAttempt = 'A',       // an attempt is about to be sent
  kOutcome = 'O',       // of the last attempt
  kCompletion = 'E',    // the message has its final status
  kNotified = 'N',      // the client has acknowledged the notification
  kDeadLettered = 'K',  // the dead letter store has taken it over
  kRemoved = 'G'        // left the message table while its last records could not be written
};

// `ordinal` counts a message's records from 1, so that one that is missing shows as a gap.
std::string EncodeState(const Message& message, std::uint32_t ordinal);
// `states`: encoded states.
std::string EncodeBatch(std::span<const std::string> states);
std::string EncodeAttempt(const Message& message, std::uint32_t ordinal);
std::string EncodeOutcome(const Message& message, std::uint32_t ordinal, Outcome outcome);
std::string EncodeCompletion(const Message& message, std::uint32_t ordinal);
// A record that says nothing but its kind: kNotified, kDeadLettered or kRemoved.
std::string EncodeBareRecord(RecordKind kind, std::uint64_t number, std::uint32_t ordinal);

struct DecodedState {
  Message message;
  std::uint32_t ordinal = 0;
};
// Reads what EncodeState wrote; none if `record` is malformed.
std::optional<DecodedState> DecodeState(std::string_view record);

// Upper bound of the bytes that a message's further records take: attempts, outcomes, completion,
// notification.
std::size_t MaxFutureRecordBytes(const Message& message);
// The same together with its state.
std::size_t MaxLiveBytes(const Message& message);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_RECORDS_H_
