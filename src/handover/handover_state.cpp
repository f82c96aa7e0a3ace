#include "handover/handover_state.h"

#include "base/byte_codec.h"

namespace sagetally {
namespace {

template <typename Value, typename AppendValue>
void AppendList(ByteWriter& writer, const std::vector<Value>& values, AppendValue append_value) {
  writer.AppendNumber(static_cast<std::uint32_t>(values.size()));
  for (const Value& value : values) append_value(writer, value);
}

template <typename Value, typename ReadValue>
void ReadList(ByteReader& reader, std::vector<Value>& values, ReadValue read_value) {
  const auto count = reader.ReadNumber<std::uint32_t>();
  // The count may be corrupt. So the loop stops at the end of the bytes, and no memory is reserved for
  // `count` values.
  for (std::uint32_t i = 0; i < count && reader.ok(); ++i) values.push_back(read_value(reader));
}

// Reads an enumerator that is stored as one byte. A value above `last`, the highest known enumerator, makes
// the bytes malformed.
template <typename Enum>
Enum ReadEnum(ByteReader& reader, Enum last) {
  const auto value = reader.ReadNumber<std::uint8_t>();
  if (value > static_cast<std::uint8_t>(last)) reader.MarkMalformed();
  return static_cast<Enum>(value);
}

Outcome ReadOutcome(ByteReader& reader) { return ReadEnum(reader, Outcome::kNotSent); }

void AppendTimestamp(ByteWriter& writer, const Timestamp& timestamp) {
  writer.AppendTime(timestamp.wall_time);
  writer.AppendTime(timestamp.steady_time);
  writer.AppendNumber(timestamp.boot_id);
}

Timestamp ReadTimestamp(ByteReader& reader) {
  Timestamp timestamp;
  timestamp.wall_time = reader.ReadTime();
  timestamp.steady_time = reader.ReadTime();
  timestamp.boot_id = reader.ReadNumber<std::uint64_t>();
  return timestamp;
}

void AppendLoadReport(ByteWriter& writer, const LoadReport& report) {
  writer.AppendNumber(report.quota_left);
  writer.AppendNumber(report.rate_limit);
}

LoadReport ReadLoadReport(ByteReader& reader) {
  LoadReport report;
  report.quota_left = reader.ReadNumber<double>();
  report.rate_limit = reader.ReadNumber<double>();
  return report;
}

void AppendClassName(ByteWriter& writer, const std::string& name) { writer.AppendString(name); }

std::string ReadClassName(ByteReader& reader) { return reader.ReadString(); }

void AppendEndpoint(ByteWriter& writer, const EndpointUpdate& update) {
  const EndpointRecord& record = update.record;
  writer.AppendString(record.endpoint);
  writer.AppendString(update.address);
  writer.AppendNumber(record.destination);
  writer.AppendNumber(record.zone);
  writer.AppendNumber(record.kind);
  writer.AppendNumber(record.rate);
  writer.AppendNumber(static_cast<std::uint8_t>(record.state));
}

EndpointUpdate ReadEndpoint(ByteReader& reader) {
  EndpointUpdate update;
  EndpointRecord& record = update.record;
  record.endpoint = reader.ReadString();
  update.address = reader.ReadString();
  record.destination = reader.ReadNumber<int>();
  record.zone = reader.ReadNumber<int>();
  record.kind = reader.ReadNumber<int>();
  record.rate = reader.ReadNumber<double>();
  record.state = ReadEnum(reader, EndpointRecord::State::kRemoved);
  return update;
}

void AppendCompletedAttempt(ByteWriter& writer, const CompletedAttempt& attempt) {
  writer.AppendTime(attempt.sent_at);
  writer.AppendTime(attempt.completed_at);
  writer.AppendTime(attempt.deadline);
  writer.AppendNumber(attempt.destination);
  writer.AppendNumber(attempt.message_class);
  writer.AppendNumber(attempt.attempts);
  writer.AppendString(attempt.endpoint);
  writer.AppendNumber(static_cast<std::uint8_t>(attempt.outcome));
  writer.AppendTime(attempt.retry_after);
  AppendLoadReport(writer, attempt.load_report);
}

CompletedAttempt ReadCompletedAttempt(ByteReader& reader) {
  CompletedAttempt attempt;
  attempt.sent_at = reader.ReadTime();
  attempt.completed_at = reader.ReadTime();
  attempt.deadline = reader.ReadTime();
  attempt.destination = reader.ReadNumber<int>();
  attempt.message_class = reader.ReadNumber<int>();
  attempt.attempts = reader.ReadNumber<int>();
  attempt.endpoint = reader.ReadString();
  attempt.outcome = ReadOutcome(reader);
  attempt.retry_after = reader.ReadTime();
  attempt.load_report = ReadLoadReport(reader);
  return attempt;
}

void AppendInFlightCall(ByteWriter& writer, const InFlightCall& call) {
  writer.AppendNumber(call.message_number);
  writer.AppendString(call.endpoint);
  writer.AppendTime(call.sent_at);
  writer.AppendNumber(call.first_uncertain_attempt.has_value());
  writer.AppendTime(call.first_uncertain_attempt.value_or(Time(0)));
  writer.AppendString(call.first_uncertain_endpoint);
}

InFlightCall ReadInFlightCall(ByteReader& reader) {
  InFlightCall call;
  call.message_number = reader.ReadNumber<std::uint64_t>();
  call.endpoint = reader.ReadString();
  call.sent_at = reader.ReadTime();
  const bool has_uncertain_attempt = reader.ReadBool();
  const Time uncertain_attempt = reader.ReadTime();
  if (has_uncertain_attempt) call.first_uncertain_attempt = uncertain_attempt;
  call.first_uncertain_endpoint = reader.ReadString();
  return call;
}

bool IsCompletelyRead(const ByteReader& reader) { return reader.ok() && reader.empty(); }

}  // namespace

std::string EncodeHandoverState(const HandoverState& state) {
  ByteWriter writer;
  writer.AppendNumber(kHandoverVersion);
  AppendTimestamp(writer, state.now);
  writer.AppendNumber(state.endpoint_list_revision);
  AppendList(writer, state.class_names, AppendClassName);
  AppendList(writer, state.endpoints, AppendEndpoint);
  AppendList(writer, state.recent_attempts, AppendCompletedAttempt);
  AppendList(writer, state.in_flight_calls, AppendInFlightCall);
  return writer.bytes();
}

std::optional<HandoverState> DecodeHandoverState(std::string_view bytes) {
  ByteReader reader(bytes);
  if (reader.ReadNumber<std::uint32_t>() != kHandoverVersion) return std::nullopt;
  HandoverState state;
  state.now = ReadTimestamp(reader);
  state.endpoint_list_revision = reader.ReadNumber<std::int64_t>();
  ReadList(reader, state.class_names, ReadClassName);
  ReadList(reader, state.endpoints, ReadEndpoint);
  ReadList(reader, state.recent_attempts, ReadCompletedAttempt);
  ReadList(reader, state.in_flight_calls, ReadInFlightCall);
  if (!IsCompletelyRead(reader)) return std::nullopt;
  return state;
}

std::string EncodeCallResult(const CallResult& result) {
  ByteWriter writer;
  writer.AppendNumber(result.message_number);
  writer.AppendNumber(static_cast<std::uint8_t>(result.outcome));
  writer.AppendNumber(result.message_expired);
  writer.AppendTime(result.retry_after);
  AppendLoadReport(writer, result.load_report);
  return writer.bytes();
}

std::optional<CallResult> DecodeCallResult(std::string_view bytes) {
  ByteReader reader(bytes);
  CallResult result;
  result.message_number = reader.ReadNumber<std::uint64_t>();
  result.outcome = ReadOutcome(reader);
  result.message_expired = reader.ReadBool();
  result.retry_after = reader.ReadTime();
  result.load_report = ReadLoadReport(reader);
  if (!IsCompletelyRead(reader)) return std::nullopt;
  return result;
}

}  // namespace sagetally
