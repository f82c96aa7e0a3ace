// Reads and writes the fields of a message's state. In formats 1 and 2 of the journal the fields and their
// order are the same, but the checks and the width of an outcome differ. Pure functions, called by the codecs
// of both formats. A malformed field makes ByteReader::ok() return false.
#ifndef SAGETALLY_SRC_JOURNAL_MESSAGE_CODEC_H_
#define SAGETALLY_SRC_JOURNAL_MESSAGE_CODEC_H_

#include <cstdint>
#include <optional>

#include "base/byte_codec.h"
#include "core/message.h"

namespace sagetally {

enum class StateFormat {
  kFormat1,  // the values of enumerators are not checked; an outcome takes four bytes
  kFormat2   // unknown values of enumerators are malformed; an outcome takes one byte
};

void WriteTimestamp(ByteWriter& out, const Timestamp& timestamp);
Timestamp ReadTimestamp(ByteReader& in);

// Writes an outcome as one byte, or -1 if there is none.
void WriteOutcome(ByteWriter& out, const std::optional<Outcome>& outcome);
// Reads an outcome; a negative number means that there is none.
std::optional<Outcome> ReadOutcome(ByteReader& in, StateFormat format = StateFormat::kFormat2);

FinalStatus ReadFinalStatus(ByteReader& in, StateFormat format = StateFormat::kFormat2);
FailureReason ReadFailureReason(ByteReader& in, StateFormat format = StateFormat::kFormat2);

// Writes all fields of a message except its number, in format 2.
void WriteMessageFields(ByteWriter& out, const Message& message);
// Reads the first part of a state, which every version of the program wrote: the request and the progress of
// its delivery.
void ReadRequestAndProgress(ByteReader& in, StateFormat format, Message& message);
// Reads the second part of a state, which the oldest logs of format 1 lack: when the message was accepted,
// why it failed, its redrive and its history of attempts.
void ReadFailureAndHistory(ByteReader& in, StateFormat format, Message& message);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_MESSAGE_CODEC_H_
