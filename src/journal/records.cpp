#include "journal/records.h"

#include "base/byte_codec.h"
#include "journal/message_codec.h"

namespace sagetally {
namespace {

// Sizes from which the upper bounds of a message's records are computed.
constexpr std::size_t kStateBytes = 230;            // a state without its strings
constexpr std::size_t kPendingFutureBytes = 900;    // six attempts and outcomes, a completion, a notification
constexpr std::size_t kCompletedFutureBytes = 100;  // a notification and a dead letter
constexpr std::size_t kHistoryEntryBytes = 80;      // one attempt in the history
constexpr std::size_t kAttributeBytes = 8;          // the lengths of an attribute's name and value

ByteWriter BeginRecord(RecordKind kind, std::uint64_t number, std::uint32_t ordinal) {
  ByteWriter out;
  out.AppendNumber(static_cast<char>(kind)).AppendNumber(number).AppendNumber(ordinal);
  return out;
}

}  // namespace

std::string EncodeState(const Message& message, std::uint32_t ordinal) {
  ByteWriter out = BeginRecord(RecordKind::kState, message.number, ordinal);
  WriteMessageFields(out, message);
  return out.bytes();
}

std::optional<DecodedState> DecodeState(std::string_view record) {
  ByteReader in(record);
  if (in.ReadNumber<char>() != static_cast<char>(RecordKind::kState)) return std::nullopt;
  DecodedState state;
  state.message.number = in.ReadNumber<std::uint64_t>();
  state.ordinal = in.ReadNumber<std::uint32_t>();
  ReadRequestAndProgress(in, StateFormat::kFormat2, state.message);
  ReadFailureAndHistory(in, StateFormat::kFormat2, state.message);
  if (!in.ok() || !in.empty() || state.message.number == 0) return std::nullopt;
  return state;
}

std::string EncodeBatch(std::span<const std::string> states) {
  ByteWriter out;
  out.AppendNumber(static_cast<char>(RecordKind::kBatch))
      .AppendNumber(static_cast<std::uint32_t>(states.size()));
  for (const std::string& state : states) out.AppendString(state);
  return out.bytes();
}

std::string EncodeAttempt(const Message& message, std::uint32_t ordinal) {
  ByteWriter out = BeginRecord(RecordKind::kAttempt, message.number, ordinal);
  const bool has_history = !message.history.empty();
  out.AppendTime(message.in_flight_since).AppendString(message.in_flight_endpoint).AppendNumber(has_history);
  WriteTimestamp(
      out, has_history ? message.history.back().sent_at : Timestamp{message.in_flight_since, Time(0), 0});
  return out.bytes();
}

std::string EncodeOutcome(const Message& message, std::uint32_t ordinal, Outcome outcome) {
  ByteWriter out = BeginRecord(RecordKind::kOutcome, message.number, ordinal);
  WriteOutcome(out, outcome);
  out.AppendTime(message.history.empty() ? Duration(0) : message.history.back().retry_after);
  return out.bytes();
}

std::string EncodeCompletion(const Message& message, std::uint32_t ordinal) {
  ByteWriter out = BeginRecord(RecordKind::kCompletion, message.number, ordinal);
  out.AppendNumber(message.final_status)
      .AppendTime(message.retry_after)
      .AppendTime(message.completed_at)
      .AppendNumber(message.notification_pending)
      .AppendNumber(message.failure_reason)
      .AppendNumber(message.dead_letter_pending);
  // The last attempt of a delivered message has no outcome record, so the completion includes its outcome. An
  // attempt in flight has no outcome yet.
  const bool has_last_outcome = !message.history.empty() && !message.is_in_flight;
  WriteOutcome(out, has_last_outcome ? message.history.back().outcome : std::nullopt);
  return out.bytes();
}

std::string EncodeBareRecord(RecordKind kind, std::uint64_t number, std::uint32_t ordinal) {
  return BeginRecord(kind, number, ordinal).bytes();
}

std::size_t MaxFutureRecordBytes(const Message& message) {
  return message.final_status == FinalStatus::kPending ? kPendingFutureBytes : kCompletedFutureBytes;
}

std::size_t MaxLiveBytes(const Message& message) {
  const Request& request = message.request;
  std::size_t bytes = kStateBytes + request.id.size() + request.idempotency_key.size() + request.body.size();
  for (const auto& [name, value] : request.attributes) bytes += kAttributeBytes + name.size() + value.size();
  return bytes + MaxFutureRecordBytes(message) + kHistoryEntryBytes * message.history.size();
}

}  // namespace sagetally
