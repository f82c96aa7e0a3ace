#include "journal/record_applier.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "journal/attempt_replay.h"
#include "journal/message_codec.h"

namespace sagetally {
namespace {

// Whether a message is over for the journal after a record of this kind.
bool EndsMessage(RecordKind kind) {
  return kind == RecordKind::kCompletion || kind == RecordKind::kNotified ||
         kind == RecordKind::kDeadLettered || kind == RecordKind::kRemoved;
}

}  // namespace

bool RecordApplier::Apply(std::string_view record, std::uint64_t sequence, std::uint64_t segment) {
  ByteReader in(record);
  const auto kind = static_cast<RecordKind>(in.ReadNumber<char>());
  if (kind == RecordKind::kState) return ApplyState(record, sequence, segment);
  if (kind == RecordKind::kBatch) return ApplyBatch(in, sequence, segment);
  const auto number = in.ReadNumber<std::uint64_t>();
  const auto ordinal = in.ReadNumber<std::uint32_t>();
  if (!in.ok()) return false;
  highest_number_ = std::max(highest_number_, number);
  Message* const message = messages_.Find(number);
  const auto traced = traces_.find(number);
  if (message == nullptr || traced == traces_.end()) {
    NoteWithoutState(kind, number, sequence);
    return true;
  }
  MessageTrace& trace = traced->second;
  if (ordinal <= trace.ordinal) return true;  // its state included this record already
  trace.has_gap = trace.has_gap || ordinal != trace.ordinal + 1;
  trace.ordinal = ordinal;
  trace.last_sequence = sequence;
  if (!ApplyEvent(kind, in, *message)) return false;
  if (messages_.Find(number) == nullptr) traces_.erase(number);
  return in.ok() && in.empty();
}

bool RecordApplier::ApplyState(std::string_view record, std::uint64_t sequence, std::uint64_t segment) {
  std::optional<DecodedState> state = DecodeState(record);
  if (!state) return false;
  const std::uint64_t number = state->message.number;
  highest_number_ = std::max(highest_number_, number);
  messages_without_state_.erase(number);
  MessageTrace& trace = traces_[number];
  // A copy made by compaction includes all records before it, so its ordinal can't be lower.
  const bool has_gap = trace.first_sequence != 0 && state->ordinal < trace.ordinal;
  trace = {state->ordinal, sequence, sequence, segment, has_gap};
  messages_.Remove(number);
  messages_.Add(std::move(state->message));
  return true;
}

bool RecordApplier::ApplyBatch(ByteReader& in, std::uint64_t sequence, std::uint64_t segment) {
  bool all_valid = true;
  for (auto left = in.ReadNumber<std::uint32_t>(); left > 0 && in.ok(); --left) {
    all_valid = ApplyState(in.ReadView(), sequence, segment) && all_valid;
  }
  return all_valid && in.ok() && in.empty();
}

bool RecordApplier::ApplyEvent(RecordKind kind, ByteReader& in, Message& message) {
  switch (kind) {
    case RecordKind::kAttempt:
      ApplyAttempt(in, message);
      return true;
    case RecordKind::kOutcome:
      return ApplyOutcome(in, message);
    case RecordKind::kCompletion:
      ApplyCompletion(in, message);
      return true;
    case RecordKind::kNotified:
      message.notification_pending = false;
      messages_.RemoveIfFinished(message);
      return true;
    case RecordKind::kDeadLettered:
      messages_.MarkDeadLettered(message);
      return true;
    case RecordKind::kRemoved:
      messages_.Remove(message.number);
      return true;
    default:
      return false;
  }
}

void RecordApplier::ApplyAttempt(ByteReader& in, Message& message) {
  const Time started_at = in.ReadTime();
  BeginReplayedAttempt(message, started_at, in.ReadString());
  const bool has_history = in.ReadBool();
  const Timestamp sent_at = ReadTimestamp(in);
  if (sent_at.wall_time > latest_timestamp_.wall_time) latest_timestamp_ = sent_at;
  if (has_history) message.history.push_back({sent_at, message.in_flight_endpoint, {}, Duration(0)});
}

bool RecordApplier::ApplyOutcome(ByteReader& in, Message& message) {
  const std::optional<Outcome> outcome = ReadOutcome(in);
  const Duration retry_after = in.ReadTime();
  if (!outcome) return false;
  EndReplayedAttempt(message, *outcome);
  if (message.history.empty()) return true;
  message.history.back().outcome = outcome;
  message.history.back().retry_after = retry_after;
  return true;
}

void RecordApplier::ApplyCompletion(ByteReader& in, Message& message) {
  const FinalStatus final_status = ReadFinalStatus(in);
  const Duration retry_after = in.ReadTime();
  const Time ended_at = in.ReadTime();
  const bool notification_pending = in.ReadBool();
  CloseInterruptedAttempt(message);
  message.failure_reason = ReadFailureReason(in);
  message.dead_letter_pending = in.ReadBool();
  const std::optional<Outcome> last_outcome = ReadOutcome(in);
  if (last_outcome && !message.history.empty()) message.history.back().outcome = last_outcome;
  messages_.Complete(message, final_status, retry_after, ended_at);
  message.notification_pending = notification_pending;
  messages_.RemoveIfFinished(message);
}

// Such a message was over before the oldest segment began, unless no record of its end follows.
void RecordApplier::NoteWithoutState(RecordKind kind, std::uint64_t number, std::uint64_t sequence) {
  if (EndsMessage(kind)) {
    messages_without_state_.erase(number);
  } else if (!traces_.contains(number)) {
    messages_without_state_.emplace(number, sequence);
  }
}

bool RecordApplier::HasIncompleteHistory(const MessageTrace& trace) const {
  return trace.has_gap || std::any_of(missing_.begin(), missing_.end(), [&](const MissingRecords& range) {
           return range.from > trace.last_sequence;
         });
}

std::vector<std::uint64_t> RecordApplier::Finish() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, message] : messages_.messages()) numbers.push_back(number);
  std::vector<std::uint64_t> incomplete;
  for (const std::uint64_t number : numbers) {
    Message& message = *messages_.Find(number);
    CloseInterruptedAttempt(message);
    if (message.final_status == FinalStatus::kPending && HasIncompleteHistory(traces_[number])) {
      // When it may have run isn't known. At the beginning of time every deduplication window is over.
      message.first_uncertain_attempt = Time(0);
      incomplete.push_back(number);
    }
    messages_.RemoveIfFinished(message);
  }
  std::erase_if(traces_, [&](const auto& entry) { return messages_.Find(entry.first) == nullptr; });
  // Without missing records before it, a message without a state ended in a segment that was dropped.
  std::erase_if(messages_without_state_, [&](const auto& entry) {
    return std::none_of(missing_.begin(), missing_.end(),
                        [&](const MissingRecords& range) { return range.to <= entry.second; });
  });
  return incomplete;
}

}  // namespace sagetally
