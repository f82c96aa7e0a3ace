// Reads and writes the fields of a message's state, which formats 1 and 2 of the journal share: the fields
// and their order are the same, checks and the width of an outcome are not.
#ifndef SAGETALLY_SRC_JOURNAL_MESSAGE_CODEC_H_
#define SAGETALLY_SRC_JOURNAL_MESSAGE_CODEC_H_

#include <cstdint>
#include <optional>

#include "base/byte_codec.h"
#include "core/message.h"

namespace sagetally {

enum class StateFormat {
  kFormat1,  // enumerators are not checked; outcomes in four bytes
  kFormat2   // unknown enumerators are malformed; outcomes in one byte
};

void WriteTimestamp(ByteWriter& out, const Timestamp& timestamp);
Timestamp ReadTimestamp(ByteReader& in);

// Outcomes are written as one byte; -1 stands for none.
void WriteOutcome(ByteWriter& out, const std::optional<Outcome>& outcome);
std::optional<Outcome> ReadOutcome(ByteReader& in, StateFormat format = StateFormat::kFormat2);

FinalStatus ReadFinalStatus(ByteReader& in, StateFormat format = StateFormat::kFormat2);
FailureReason ReadFailureReason(ByteReader& in, StateFormat format = StateFormat::kFormat2);

// All fields of a message but its number. Writes format 2.
void WriteMessageFields(ByteWriter& out, const Message& message);
// The request and its progress: what states of any age hold.
void ReadRequestAndProgress(ByteReader& in, StateFormat format, Message& message);
// What follows: when it was accepted, why it failed, the redrive and the history of attempts.
void ReadFailureAndHistory(ByteReader& in, StateFormat format, Message& message);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_MESSAGE_CODEC_H_
