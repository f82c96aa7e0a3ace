#include "journal/record_applier.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "journal/attempt_replay.h"
#include "journal/message_codec.h"

namespace sagetally {
namespace {

// Returns whether a record of this kind says that its message has ended.
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
  const auto found = replayed_messages_.find(number);
  if (message == nullptr || found == replayed_messages_.end()) {
    TrackMessageWithoutState(kind, number, sequence);
    return true;
  }
  ReplayedMessage& replayed = found->second;
  if (ordinal <= replayed.ordinal) return true;  // the message's state includes this record already
  replayed.has_gap = replayed.has_gap || ordinal != replayed.ordinal + 1;
  replayed.ordinal = ordinal;
  replayed.last_sequence = sequence;
  if (!ApplyEvent(kind, in, *message)) return false;
  if (messages_.Find(number) == nullptr) replayed_messages_.erase(number);
  return in.ok() && in.empty();
}

bool RecordApplier::ApplyState(std::string_view record, std::uint64_t sequence, std::uint64_t segment) {
  std::optional<DecodedState> state = DecodeState(record);
  if (!state) return false;
  const std::uint64_t number = state->message.number;
  highest_number_ = std::max(highest_number_, number);
  messages_without_state_.erase(number);
  ReplayedMessage& replayed = replayed_messages_[number];
  // A state includes all earlier records of its message, so its ordinal is at least theirs. A lower one shows
  // that a record is missing.
  const bool has_gap = replayed.first_sequence != 0 && state->ordinal < replayed.ordinal;
  replayed = {state->ordinal, sequence, sequence, segment, has_gap};
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

// Usually such a message has ended, and its state was in a segment that has been dropped since; a record of
// its end then follows. If none follows, and no later copy of its state either, the state may be lost.
void RecordApplier::TrackMessageWithoutState(RecordKind kind, std::uint64_t number, std::uint64_t sequence) {
  if (EndsMessage(kind)) {
    messages_without_state_.erase(number);
  } else if (!replayed_messages_.contains(number)) {
    messages_without_state_.emplace(number, sequence);
  }
}

bool RecordApplier::HasIncompleteHistory(const ReplayedMessage& replayed) const {
  return replayed.has_gap || std::any_of(missing_.begin(), missing_.end(), [&](const MissingRecords& range) {
           return range.from > replayed.last_sequence;
         });
}

std::vector<std::uint64_t> RecordApplier::Finish() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, message] : messages_.messages()) numbers.push_back(number);
  std::vector<std::uint64_t> incomplete;
  for (const std::uint64_t number : numbers) {
    Message& message = *messages_.Find(number);
    CloseInterruptedAttempt(message);
    if (message.final_status == FinalStatus::kPending && HasIncompleteHistory(replayed_messages_[number])) {
      // It is not known when the message may have run. With the earliest possible time every deduplication
      // window counts as expired.
      message.first_uncertain_attempt = Time(0);
      incomplete.push_back(number);
    }
    messages_.RemoveIfFinished(message);
  }
  std::erase_if(replayed_messages_,
                [&](const auto& entry) { return messages_.Find(entry.first) == nullptr; });
  // If no records before the first record of a message are missing, its state is not lost: the message ended,
  // and the segment with its state was dropped.
  std::erase_if(messages_without_state_, [&](const auto& entry) {
    return std::none_of(missing_.begin(), missing_.end(),
                        [&](const MissingRecords& range) { return range.to <= entry.second; });
  });
  return incomplete;
}

}  // namespace sagetally
