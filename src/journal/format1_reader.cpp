#include "journal/format1_reader.h"

#include <zlib.h>

#include <cerrno>
#include <string_view>
#include <utility>
#include <vector>

#include "base/byte_codec.h"
#include "journal/attempt_replay.h"
#include "journal/errors.h"
#include "journal/message_codec.h"
#include "journal/records.h"

namespace sagetally {
namespace {

constexpr std::size_t kHeaderBytes = 8;  // the length and the checksum before each record
constexpr std::size_t kMaxFormat1RecordBytes = 256 * 1024;
constexpr std::uint64_t kMaxFileBytes = 1ULL << 32;

std::uint32_t Checksum(std::string_view text) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
}

// Applies the records of a log to a message table. Later versions of the program appended fields to some
// kinds of records, so these fields are optional.
class Format1Applier {
 public:
  explicit Format1Applier(MessageTable& messages) : messages_(messages) {}

  // Returns false if the record is malformed.
  bool Apply(std::string_view record) {
    ByteReader in(record);
    const auto kind = static_cast<RecordKind>(in.ReadNumber<char>());
    const auto number = in.ReadNumber<std::uint64_t>();
    if (kind == RecordKind::kState) return ApplyState(in, number);
    Message* const message = messages_.Find(number);
    switch (kind) {
      case RecordKind::kAttempt:
        ApplyAttempt(in, message);
        break;
      case RecordKind::kOutcome:
        ApplyOutcome(in, message);
        break;
      case RecordKind::kCompletion:
        ApplyCompletion(in, message);
        break;
      case RecordKind::kNotified:
        if (message == nullptr) break;
        message->notification_pending = false;
        messages_.RemoveIfFinished(*message);
        break;
      case RecordKind::kDeadLettered:
        if (message != nullptr) messages_.MarkDeadLettered(*message);
        break;
      default:
        return false;
    }
    return in.ok();
  }

  // Called once all records are applied. Ends attempts in flight and marks them as uncertain.
  void Finish() {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, message] : messages_.messages()) numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
      Message& message = *messages_.Find(number);
      CloseInterruptedAttempt(message);
      messages_.RemoveIfFinished(message);
    }
  }

 private:
  bool ApplyState(ByteReader& in, std::uint64_t number) {
    Message message;
    message.number = number;
    ReadRequestAndProgress(in, StateFormat::kFormat1, message);
    if (!in.empty()) ReadFailureAndHistory(in, StateFormat::kFormat1, message);
    if (!in.ok()) return false;
    messages_.Remove(number);
    messages_.Add(std::move(message));
    return true;
  }

  // `message` is null if it is not in the table.
  static void ApplyAttempt(ByteReader& in, Message* message) {
    const Time started_at = in.ReadTime();
    std::string endpoint = in.ReadString();
    if (message == nullptr || !in.ok()) return;
    BeginReplayedAttempt(*message, started_at, std::move(endpoint));
    if (in.empty()) return;
    AttemptRecord attempt;
    attempt.sent_at.wall_time = started_at;
    attempt.sent_at.steady_time = in.ReadTime();
    attempt.sent_at.boot_id = in.ReadNumber<std::uint64_t>();
    attempt.endpoint = message->in_flight_endpoint;
    message->history.push_back(std::move(attempt));
  }

  static void ApplyOutcome(ByteReader& in, Message* message) {
    const auto outcome = static_cast<Outcome>(in.ReadNumber<std::int32_t>());
    if (message == nullptr || !in.ok()) return;
    EndReplayedAttempt(*message, outcome);
    if (in.empty() || message->history.empty()) return;
    message->history.back().outcome = outcome;
    message->history.back().retry_after = in.ReadTime();
  }

  void ApplyCompletion(ByteReader& in, Message* message) {
    const FinalStatus final_status = ReadFinalStatus(in, StateFormat::kFormat1);
    const Duration retry_after = in.ReadTime();
    const Time ended_at = in.ReadTime();
    if (message == nullptr || !in.ok()) return;
    CloseInterruptedAttempt(*message);
    if (!in.empty()) {
      message->failure_reason = ReadFailureReason(in, StateFormat::kFormat1);
      message->dead_letter_pending = in.ReadBool();
      const std::optional<Outcome> last_outcome = ReadOutcome(in, StateFormat::kFormat1);
      if (last_outcome && !message->history.empty()) message->history.back().outcome = last_outcome;
    }
    messages_.Complete(*message, final_status, retry_after, ended_at);
    messages_.RemoveIfFinished(*message);
  }

  MessageTable& messages_;
};

}  // namespace

Format1Report ReadFormat1(FileSystem& files, const std::string& path, MessageTable& messages) {
  const auto opened = files.Open(path, FileSystem::Mode::kRead);
  if (opened.error == ENOENT) return {};
  ThrowOnError(path, opened.error);
  const auto content = ReadAll(*opened.value, kMaxFileBytes);
  ThrowOnError(path, content.error);
  Format1Report report;
  report.found = true;
  Format1Applier applier(messages);
  std::string_view rest = content.value;
  while (rest.size() >= kHeaderBytes) {
    ByteReader header(rest.substr(0, kHeaderBytes));
    const auto size = header.ReadNumber<std::uint32_t>();
    const auto checksum = header.ReadNumber<std::uint32_t>();
    if (size > kMaxFormat1RecordBytes || size > rest.size() - kHeaderBytes) break;
    const std::string_view record = rest.substr(kHeaderBytes, size);
    if (Checksum(record) != checksum || !applier.Apply(record)) break;
    rest.remove_prefix(kHeaderBytes + size);
    ++report.records;
  }
  report.torn_bytes = rest.size();
  applier.Finish();
  return report;
}

}  // namespace sagetally
