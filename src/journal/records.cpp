#include "journal/records.h"

#include <algorithm>
#include <utility>

#include "base/byte_codec.h"

namespace sagetally {
namespace {

constexpr std::size_t kStateBytes = 230;  // without its texts
constexpr std::size_t kPerMessage = 900;  // six attempts and outcomes, an end, a notice
constexpr std::size_t kPerNote = 80;      // of its history
constexpr int kMostOutcome = static_cast<int>(Outcome::kNotSent);

ByteWriter Head(RecordKind kind, std::uint64_t number, std::uint32_t ordinal) {
  ByteWriter w;
  w.AppendNumber(static_cast<char>(kind)).AppendNumber(number).AppendNumber(ordinal);
  return w;
}

void Put(ByteWriter& w, const Timestamp& m) {
  w.AppendTime(m.wall_time).AppendTime(m.steady_time).AppendNumber(m.boot_id);
}
Timestamp ReadMoment(ByteReader& in) {
  Timestamp m;
  m.wall_time = in.ReadTime();
  m.steady_time = in.ReadTime();
  m.boot_id = in.ReadNumber<std::uint64_t>();
  return m;
}

// A byte that names one of `count` values.
template <typename E>
E Named(ByteReader& in, int count) {
  const auto value = in.ReadNumber<std::uint8_t>();
  if (value >= count) in.MarkMalformed();
  return static_cast<E>(value < count ? value : 0);
}

std::optional<Outcome> ReadOutcome(ByteReader& in) {
  const auto value = in.ReadNumber<std::int8_t>();
  if (value > kMostOutcome) in.MarkMalformed();
  if (value < 0 || value > kMostOutcome) return std::nullopt;
  return static_cast<Outcome>(value);
}

std::int8_t Raw(const std::optional<Outcome>& outcome) {
  return outcome ? static_cast<std::int8_t>(*outcome) : std::int8_t{-1};
}

}  // namespace

std::string EncodeState(const Message& m, std::uint32_t ordinal) {
  ByteWriter w = Head(RecordKind::kState, m.number, ordinal);
  const Request& r = m.request;
  w.AppendString(r.id)
      .AppendNumber<std::int32_t>(r.message_class)
      .AppendNumber<std::int32_t>(r.destination)
      .AppendTime(m.deadline);
  w.AppendString(r.idempotency_key)
      .AppendString(r.body)
      .AppendNumber(r.protocol)
      .AppendNumber(static_cast<std::uint32_t>(r.attributes.size()));
  for (const auto& [name, value] : r.attributes) w.AppendString(name).AppendString(value);
  w.AppendNumber<std::int32_t>(m.attempts)
      .AppendNumber(m.is_in_flight)
      .AppendTime(m.in_flight_since)
      .AppendString(m.in_flight_endpoint);
  w.AppendNumber(m.first_uncertain_attempt.has_value())
      .AppendTime(m.first_uncertain_attempt.value_or(Time(0)))
      .AppendString(m.first_uncertain_endpoint);
  w.AppendNumber(m.final_status)
      .AppendTime(m.retry_after)
      .AppendTime(m.ended_at)
      .AppendNumber(m.notification_pending);
  w.AppendTime(m.accepted_at)
      .AppendNumber(m.failure_reason)
      .AppendNumber(m.dead_letter_pending)
      .AppendNumber(m.redrive_number)
      .AppendNumber(m.redrive_incarnation);
  w.AppendString(m.redrive_node).AppendNumber(static_cast<std::uint32_t>(m.history.size()));
  for (const AttemptRecord& note : m.history) {
    Put(w, note.sent_at);
    w.AppendString(note.endpoint).AppendNumber(Raw(note.outcome)).AppendTime(note.retry_after);
  }
  return w.bytes();
}

bool DecodeState(std::string_view record, Message& m, std::uint32_t& ordinal) {
  ByteReader in(record);
  if (in.ReadNumber<char>() != static_cast<char>(RecordKind::kState)) return false;
  m.number = in.ReadNumber<std::uint64_t>();
  ordinal = in.ReadNumber<std::uint32_t>();
  Request& r = m.request;
  r.id = in.ReadString();
  r.message_class = in.ReadNumber<std::int32_t>();
  r.destination = in.ReadNumber<std::int32_t>();
  m.deadline = in.ReadTime();
  r.idempotency_key = in.ReadString();
  r.body = in.ReadString();
  r.protocol = Named<IngressProtocol>(in, 2);
  for (auto n = in.ReadNumber<std::uint32_t>(); n > 0 && in.ok(); --n) {
    std::string name = in.ReadString();
    r.attributes[std::move(name)] = in.ReadString();
  }
  m.attempts = in.ReadNumber<std::int32_t>();
  m.is_in_flight = in.ReadBool();
  m.in_flight_since = in.ReadTime();
  m.in_flight_endpoint = in.ReadString();
  const bool may = in.ReadBool();
  const Time may_at = in.ReadTime();
  if (may) m.first_uncertain_attempt = may_at;
  m.first_uncertain_endpoint = in.ReadString();
  m.final_status = Named<enum FinalStatus>(in, static_cast<int>(FinalStatus::kExpired) + 1);
  m.retry_after = in.ReadTime();
  m.ended_at = in.ReadTime();
  m.notification_pending = in.ReadBool();
  m.accepted_at = in.ReadTime();
  m.failure_reason =
      Named<FailureReason>(in, static_cast<int>(FailureReason::kRedriveForbiddenAfterRestart) + 1);
  m.dead_letter_pending = in.ReadBool();
  m.redrive_number = in.ReadNumber<std::uint64_t>();
  m.redrive_incarnation = in.ReadNumber<std::int32_t>();
  m.redrive_node = in.ReadString();
  for (auto n = in.ReadNumber<std::uint32_t>(); n > 0 && in.ok(); --n) {
    AttemptRecord note;
    note.sent_at = ReadMoment(in);
    note.endpoint = in.ReadString();
    note.outcome = ReadOutcome(in);
    note.retry_after = in.ReadTime();
    m.history.push_back(std::move(note));
  }
  return in.ok() && in.empty() && m.number != 0;
}

std::string EncodeBatch(std::span<const std::string> states) {
  ByteWriter w;
  w.AppendNumber(static_cast<char>(RecordKind::kBatch))
      .AppendNumber(static_cast<std::uint32_t>(states.size()));
  for (const std::string& state : states) w.AppendString(state);
  return w.bytes();
}

std::string EncodeAttempt(const Message& m, std::uint32_t ordinal) {
  ByteWriter w = Head(RecordKind::kAttempt, m.number, ordinal);
  w.AppendTime(m.in_flight_since).AppendString(m.in_flight_endpoint).AppendNumber(!m.history.empty());
  Put(w, m.history.empty() ? Timestamp{m.in_flight_since, Time(0), 0} : m.history.back().sent_at);
  return w.bytes();
}

std::string EncodeOutcome(const Message& m, std::uint32_t ordinal, Outcome outcome) {
  ByteWriter w = Head(RecordKind::kOutcome, m.number, ordinal);
  w.AppendNumber(Raw(outcome)).AppendTime(m.history.empty() ? Duration(0) : m.history.back().retry_after);
  return w.bytes();
}

std::string EncodeCompletion(const Message& m, std::uint32_t ordinal) {
  ByteWriter w = Head(RecordKind::kCompletion, m.number, ordinal);
  w.AppendNumber(m.final_status)
      .AppendTime(m.retry_after)
      .AppendTime(m.ended_at)
      .AppendNumber(m.notification_pending)
      .AppendNumber(m.failure_reason)
      .AppendNumber(m.dead_letter_pending);
  // A call that is still out has no outcome yet; the last one of a delivered message stands only here.
  const bool known = !m.history.empty() && !m.is_in_flight;
  w.AppendNumber(Raw(known ? m.history.back().outcome : std::nullopt));
  return w.bytes();
}

std::string EncodeBareRecord(RecordKind kind, std::uint64_t number, std::uint32_t ordinal) {
  return Head(kind, number, ordinal).bytes();
}

std::size_t MaxFutureRecordBytes(const Message& m) {
  return m.final_status == FinalStatus::kPending ? kPerMessage : 100;
}

std::size_t MaxLiveBytes(const Message& m) {
  std::size_t live =
      kStateBytes + m.request.id.size() + m.request.idempotency_key.size() + m.request.body.size();
  for (const auto& [name, value] : m.request.attributes) live += 8 + name.size() + value.size();
  return live + MaxFutureRecordBytes(m) + kPerNote * m.history.size();
}

void MarkUncertainAttempt(Message& m) {
  if (m.first_uncertain_attempt) return;
  m.first_uncertain_attempt = m.in_flight_since;
  m.first_uncertain_endpoint = m.in_flight_endpoint;
}

bool RecordApplier::ApplyState(std::string_view record, std::uint64_t sequence, std::uint64_t segment) {
  Message m;
  std::uint32_t ordinal = 0;
  if (!DecodeState(record, m, ordinal)) return false;
  const std::uint64_t number = m.number;
  highest_number_ = std::max(highest_number_, number);
  messages_without_state_.erase(number);
  MessageTrace& trace = traces_[number];
  // Copied forward: nothing may be missing between what was known and this.
  const bool broken = trace.first_sequence != 0 && ordinal < trace.ordinal;
  trace = {ordinal, sequence, sequence, segment, broken};
  messages_.Remove(number);
  messages_.Add(std::move(m));
  return true;
}

bool RecordApplier::Apply(std::string_view record, std::uint64_t sequence, std::uint64_t segment) {
  ByteReader in(record);
  const auto kind = static_cast<RecordKind>(in.ReadNumber<char>());
  if (kind == RecordKind::kState) return ApplyState(record, sequence, segment);
  if (kind == RecordKind::kBatch) {
    bool fine = true;
    for (auto n = in.ReadNumber<std::uint32_t>(); n > 0 && in.ok(); --n) {
      fine = ApplyState(in.ReadView(), sequence, segment) && fine;
    }
    return fine && in.ok() && in.empty();
  }
  const auto number = in.ReadNumber<std::uint64_t>();
  const auto ordinal = in.ReadNumber<std::uint32_t>();
  Message* m = messages_.Find(number);
  const auto traced = traces_.find(number);
  if (!in.ok()) return false;
  highest_number_ = std::max(highest_number_, number);
  if (m == nullptr || traced == traces_.end()) {
    // Of a message that was over before what is read began; unless its end never comes.
    const bool over = kind == RecordKind::kCompletion || kind == RecordKind::kNotified ||
                      kind == RecordKind::kDeadLettered || kind == RecordKind::kRemoved;
    if (over) {
      messages_without_state_.erase(number);
    } else if (traced == traces_.end()) {
      messages_without_state_.emplace(number, sequence);
    }
    return true;
  }
  MessageTrace& trace = traced->second;
  if (ordinal <= trace.ordinal) return true;  // its state held this already
  trace.has_gap = trace.has_gap || ordinal != trace.ordinal + 1;
  trace.ordinal = ordinal;
  trace.last_sequence = sequence;
  switch (kind) {
    case RecordKind::kAttempt: {
      if (m->is_in_flight) MarkUncertainAttempt(*m);  // the end of an earlier process cut that call off
      m->in_flight_since = in.ReadTime();
      m->in_flight_endpoint = in.ReadString();
      m->attempts += 1;
      m->is_in_flight = true;
      const bool noted = in.ReadBool();
      const Timestamp moment = ReadMoment(in);
      if (moment.wall_time > latest_timestamp_.wall_time) latest_timestamp_ = moment;
      if (noted) m->history.push_back({moment, m->in_flight_endpoint, {}, Duration(0)});
      break;
    }
    case RecordKind::kOutcome: {
      const std::optional<Outcome> outcome = ReadOutcome(in);
      const Duration told_wait = in.ReadTime();
      if (!outcome) return false;
      m->is_in_flight = false;
      if (MayHaveRun(*outcome)) MarkUncertainAttempt(*m);
      if (!m->history.empty()) {
        m->history.back().outcome = outcome;
        m->history.back().retry_after = told_wait;
      }
      break;
    }
    case RecordKind::kCompletion: {
      const auto end = Named<enum FinalStatus>(in, static_cast<int>(FinalStatus::kExpired) + 1);
      const Duration again = in.ReadTime();
      const Time at = in.ReadTime();
      const bool notice = in.ReadBool();
      if (m->is_in_flight)
        MarkUncertainAttempt(*m);  // it ended with its call out, and how that came back is not on record
      m->is_in_flight = false;
      m->failure_reason =
          Named<FailureReason>(in, static_cast<int>(FailureReason::kRedriveForbiddenAfterRestart) + 1);
      m->dead_letter_pending = in.ReadBool();
      const std::optional<Outcome> last = ReadOutcome(in);
      if (last && !m->history.empty()) m->history.back().outcome = last;
      messages_.Complete(*m, end, again, at);
      m->notification_pending = notice;
      messages_.RemoveIfFinished(*m);
      break;
    }
    case RecordKind::kNotified:
      m->notification_pending = false;
      messages_.RemoveIfFinished(*m);
      break;
    case RecordKind::kDeadLettered:
      messages_.MarkDeadLettered(*m);
      break;
    case RecordKind::kRemoved:
      messages_.Remove(number);
      break;
    default:
      return false;
  }
  if (messages_.Find(number) == nullptr) traces_.erase(number);
  return in.ok() && in.empty();
}

std::vector<std::uint64_t> RecordApplier::Finish() {
  std::vector<std::uint64_t> suspects, numbers;
  for (const auto& [number, m] : messages_.messages()) numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    Message& m = *messages_.Find(number);
    const MessageTrace& trace = traces_[number];
    const bool incomplete = trace.has_gap || std::any_of(gaps_.begin(), gaps_.end(), [&](const auto& gap) {
                              return gap.first > trace.last_sequence;
                            });
    if (m.is_in_flight) MarkUncertainAttempt(m);
    m.is_in_flight = false;
    if (incomplete && m.final_status == FinalStatus::kPending) {
      // When it may have run is not known: long enough ago for every window to be over.
      m.first_uncertain_attempt = Time(0);
      suspects.push_back(number);
    }
    messages_.RemoveIfFinished(m);
  }
  std::erase_if(traces_, [&](const auto& entry) { return messages_.Find(entry.first) == nullptr; });
  // Without a gap, what is unknown was dropped because it was over.
  std::erase_if(messages_without_state_, [&](const auto& entry) {
    return std::none_of(gaps_.begin(), gaps_.end(),
                        [&](const auto& gap) { return gap.second <= entry.second; });
  });
  return suspects;
}

}  // namespace sagetally
