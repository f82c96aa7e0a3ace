#include "journal/message_codec.h"

#include <utility>

namespace sagetally {
namespace {

constexpr int kProtocolCount = static_cast<int>(IngressProtocol::kCloudEvents) + 1;
constexpr int kFinalStatusCount = static_cast<int>(FinalStatus::kExpired) + 1;
constexpr int kFailureReasonCount = static_cast<int>(FailureReason::kRedriveForbiddenAfterRestart) + 1;
constexpr int kOutcomeCount = static_cast<int>(Outcome::kNotSent) + 1;

// Reads an enumerator that is stored in one byte and has the values from 0 to `count` - 1.
template <typename Enum>
Enum ReadEnumerator(ByteReader& in, StateFormat format, int count) {
  const auto value = in.ReadNumber<std::uint8_t>();
  if (format == StateFormat::kFormat1 || value < count) return static_cast<Enum>(value);
  in.MarkMalformed();
  return static_cast<Enum>(0);
}

void WriteRequest(ByteWriter& out, const Request& request, Time deadline) {
  out.AppendString(request.id)
      .AppendNumber<std::int32_t>(request.message_class)
      .AppendNumber<std::int32_t>(request.destination)
      .AppendTime(deadline)
      .AppendString(request.idempotency_key)
      .AppendString(request.body)
      .AppendNumber(request.protocol)
      .AppendNumber(static_cast<std::uint32_t>(request.attributes.size()));
  for (const auto& [name, value] : request.attributes) out.AppendString(name).AppendString(value);
}

void WriteHistory(ByteWriter& out, const std::vector<AttemptRecord>& history) {
  out.AppendNumber(static_cast<std::uint32_t>(history.size()));
  for (const AttemptRecord& attempt : history) {
    WriteTimestamp(out, attempt.sent_at);
    out.AppendString(attempt.endpoint);
    WriteOutcome(out, attempt.outcome);
    out.AppendTime(attempt.retry_after);
  }
}

}  // namespace

void WriteTimestamp(ByteWriter& out, const Timestamp& timestamp) {
  out.AppendTime(timestamp.wall_time).AppendTime(timestamp.steady_time).AppendNumber(timestamp.boot_id);
}

Timestamp ReadTimestamp(ByteReader& in) {
  Timestamp timestamp;
  timestamp.wall_time = in.ReadTime();
  timestamp.steady_time = in.ReadTime();
  timestamp.boot_id = in.ReadNumber<std::uint64_t>();
  return timestamp;
}

void WriteOutcome(ByteWriter& out, const std::optional<Outcome>& outcome) {
  out.AppendNumber(outcome ? static_cast<std::int8_t>(*outcome) : std::int8_t{-1});
}

std::optional<Outcome> ReadOutcome(ByteReader& in, StateFormat format) {
  if (format == StateFormat::kFormat1) {
    const auto value = in.ReadNumber<std::int32_t>();
    return value < 0 ? std::nullopt : std::optional(static_cast<Outcome>(value));
  }
  const auto value = in.ReadNumber<std::int8_t>();
  if (value >= kOutcomeCount) in.MarkMalformed();
  if (value < 0 || value >= kOutcomeCount) return std::nullopt;
  return static_cast<Outcome>(value);
}

FinalStatus ReadFinalStatus(ByteReader& in, StateFormat format) {
  return ReadEnumerator<FinalStatus>(in, format, kFinalStatusCount);
}

FailureReason ReadFailureReason(ByteReader& in, StateFormat format) {
  return ReadEnumerator<FailureReason>(in, format, kFailureReasonCount);
}

void WriteMessageFields(ByteWriter& out, const Message& message) {
  WriteRequest(out, message.request, message.deadline);
  out.AppendNumber<std::int32_t>(message.attempts)
      .AppendNumber(message.is_in_flight)
      .AppendTime(message.in_flight_since)
      .AppendString(message.in_flight_endpoint)
      .AppendNumber(message.first_uncertain_attempt.has_value())
      .AppendTime(message.first_uncertain_attempt.value_or(Time(0)))
      .AppendString(message.first_uncertain_endpoint)
      .AppendNumber(message.final_status)
      .AppendTime(message.retry_after)
      .AppendTime(message.completed_at)
      .AppendNumber(message.notification_pending)
      .AppendTime(message.accepted_at)
      .AppendNumber(message.failure_reason)
      .AppendNumber(message.dead_letter_pending)
      .AppendNumber(message.redrive_number)
      .AppendNumber(message.redrive_incarnation)
      .AppendString(message.redrive_node);
  WriteHistory(out, message.history);
}

void ReadRequestAndProgress(ByteReader& in, StateFormat format, Message& message) {
  Request& request = message.request;
  request.id = in.ReadString();
  request.message_class = in.ReadNumber<std::int32_t>();
  request.destination = in.ReadNumber<std::int32_t>();
  message.deadline = in.ReadTime();
  request.idempotency_key = in.ReadString();
  request.body = in.ReadString();
  request.protocol = ReadEnumerator<IngressProtocol>(in, format, kProtocolCount);
  for (auto left = in.ReadNumber<std::uint32_t>(); left > 0 && in.ok(); --left) {
    std::string name = in.ReadString();
    request.attributes[std::move(name)] = in.ReadString();
  }
  message.attempts = in.ReadNumber<std::int32_t>();
  message.is_in_flight = in.ReadBool();
  message.in_flight_since = in.ReadTime();
  message.in_flight_endpoint = in.ReadString();
  const bool has_uncertain_attempt = in.ReadBool();
  const Time first_uncertain_attempt = in.ReadTime();
  if (has_uncertain_attempt) message.first_uncertain_attempt = first_uncertain_attempt;
  message.first_uncertain_endpoint = in.ReadString();
  message.final_status = ReadFinalStatus(in, format);
  message.retry_after = in.ReadTime();
  message.completed_at = in.ReadTime();
  message.notification_pending = in.ReadBool();
}

void ReadFailureAndHistory(ByteReader& in, StateFormat format, Message& message) {
  message.accepted_at = in.ReadTime();
  message.failure_reason = ReadFailureReason(in, format);
  message.dead_letter_pending = in.ReadBool();
  message.redrive_number = in.ReadNumber<std::uint64_t>();
  message.redrive_incarnation = in.ReadNumber<std::int32_t>();
  message.redrive_node = in.ReadString();
  for (auto left = in.ReadNumber<std::uint32_t>(); left > 0 && in.ok(); --left) {
    AttemptRecord attempt;
    attempt.sent_at = ReadTimestamp(in);
    attempt.endpoint = in.ReadString();
    attempt.outcome = ReadOutcome(in, format);
    attempt.retry_after = in.ReadTime();
    message.history.push_back(std::move(attempt));
  }
}

}  // namespace sagetally
