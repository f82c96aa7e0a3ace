#include "journal/records.h"

#include <algorithm>
#include <utility>

#include "base/byte_codec.h"

namespace sagetally {
namespace {

constexpr std::size_t kStateBytes = 230;  // without its texts
constexpr std::size_t kPerMessage = 900;  // six attempts and outcomes, an end, a notice
constexpr std::size_t kPerNote = 80;      // of its history
constexpr int kMostOutcome = static_cast<int>(Outcome::kMoot);

Writer Head(RecordKind kind, std::uint64_t number, std::uint32_t ordinal) {
  Writer w;
  w.Number(static_cast<char>(kind)).Number(number).Number(ordinal);
  return w;
}

void Put(Writer& w, const Moment& m) { w.At(m.wall).At(m.steady).Number(m.boot); }
Moment ReadMoment(Reader& in) {
  Moment m;
  m.wall = in.At();
  m.steady = in.At();
  m.boot = in.Number<std::uint64_t>();
  return m;
}

// A byte that names one of `count` values.
template <typename E>
E Named(Reader& in, int count) {
  const auto value = in.Number<std::uint8_t>();
  if (value >= count) in.Fail();
  return static_cast<E>(value < count ? value : 0);
}

std::optional<Outcome> ReadOutcome(Reader& in) {
  const auto value = in.Number<std::int8_t>();
  if (value > kMostOutcome) in.Fail();
  if (value < 0 || value > kMostOutcome) return std::nullopt;
  return static_cast<Outcome>(value);
}

std::int8_t Raw(const std::optional<Outcome>& outcome) {
  return outcome ? static_cast<std::int8_t>(*outcome) : std::int8_t{-1};
}

}  // namespace

std::string StateRecord(const Message& m, std::uint32_t ordinal) {
  Writer w = Head(RecordKind::kState, m.number, ordinal);
  const Request& r = m.request;
  w.Text(r.id).Number<std::int32_t>(r.message_class).Number<std::int32_t>(r.destination).At(m.deadline);
  w.Text(r.key).Text(r.body).Number(r.form).Number(static_cast<std::uint32_t>(r.attributes.size()));
  for (const auto& [name, value] : r.attributes) w.Text(name).Text(value);
  w.Number<std::int32_t>(m.attempts).Number(m.out).At(m.out_since).Text(m.out_at);
  w.Number(m.may_have_run.has_value()).At(m.may_have_run.value_or(Time(0))).Text(m.may_have_run_at);
  w.Number(m.end).At(m.again).At(m.ended_at).Number(m.notice_owed);
  w.At(m.taken_at).Number(m.reason).Number(m.kept_owed).Number(m.kept_as).Number(m.kept_life);
  w.Text(m.kept_node).Number(static_cast<std::uint32_t>(m.history.size()));
  for (const AttemptNote& note : m.history) {
    Put(w, note.sent);
    w.Text(note.endpoint).Number(Raw(note.outcome)).At(note.told_wait);
  }
  return w.out();
}

bool ReadState(std::string_view record, Message& m, std::uint32_t& ordinal) {
  Reader in(record);
  if (in.Number<char>() != static_cast<char>(RecordKind::kState)) return false;
  m.number = in.Number<std::uint64_t>();
  ordinal = in.Number<std::uint32_t>();
  Request& r = m.request;
  r.id = in.Text();
  r.message_class = in.Number<std::int32_t>();
  r.destination = in.Number<std::int32_t>();
  m.deadline = in.At();
  r.key = in.Text();
  r.body = in.Text();
  r.form = Named<Form>(in, 2);
  for (auto n = in.Number<std::uint32_t>(); n > 0 && in.fine(); --n) {
    std::string name = in.Text();
    r.attributes[std::move(name)] = in.Text();
  }
  m.attempts = in.Number<std::int32_t>();
  m.out = in.Flag();
  m.out_since = in.At();
  m.out_at = in.Text();
  const bool may = in.Flag();
  const Time may_at = in.At();
  if (may) m.may_have_run = may_at;
  m.may_have_run_at = in.Text();
  m.end = Named<enum End>(in, static_cast<int>(End::kOver) + 1);
  m.again = in.At();
  m.ended_at = in.At();
  m.notice_owed = in.Flag();
  m.taken_at = in.At();
  m.reason = Named<Reason>(in, static_cast<int>(Reason::kForbiddenOnRestart) + 1);
  m.kept_owed = in.Flag();
  m.kept_as = in.Number<std::uint64_t>();
  m.kept_life = in.Number<std::int32_t>();
  m.kept_node = in.Text();
  for (auto n = in.Number<std::uint32_t>(); n > 0 && in.fine(); --n) {
    AttemptNote note;
    note.sent = ReadMoment(in);
    note.endpoint = in.Text();
    note.outcome = ReadOutcome(in);
    note.told_wait = in.At();
    m.history.push_back(std::move(note));
  }
  return in.fine() && in.empty() && m.number != 0;
}

std::string BatchRecord(std::span<const std::string> states) {
  Writer w;
  w.Number(static_cast<char>(RecordKind::kBatch)).Number(static_cast<std::uint32_t>(states.size()));
  for (const std::string& state : states) w.Text(state);
  return w.out();
}

std::string AttemptRecord(const Message& m, std::uint32_t ordinal) {
  Writer w = Head(RecordKind::kAttempt, m.number, ordinal);
  w.At(m.out_since).Text(m.out_at).Number(!m.history.empty());
  Put(w, m.history.empty() ? Moment{m.out_since, Time(0), 0} : m.history.back().sent);
  return w.out();
}

std::string OutcomeRecord(const Message& m, std::uint32_t ordinal, Outcome outcome) {
  Writer w = Head(RecordKind::kOutcome, m.number, ordinal);
  w.Number(Raw(outcome)).At(m.history.empty() ? Duration(0) : m.history.back().told_wait);
  return w.out();
}

std::string EndRecord(const Message& m, std::uint32_t ordinal) {
  Writer w = Head(RecordKind::kEnd, m.number, ordinal);
  w.Number(m.end).At(m.again).At(m.ended_at).Number(m.notice_owed).Number(m.reason).Number(m.kept_owed);
  // A call that is still out has no outcome yet; the last one of a delivered message stands only here.
  const bool known = !m.history.empty() && !m.out;
  w.Number(Raw(known ? m.history.back().outcome : std::nullopt));
  return w.out();
}

std::string BareRecord(RecordKind kind, std::uint64_t number, std::uint32_t ordinal) {
  return Head(kind, number, ordinal).out();
}

std::size_t RecordsToCome(const Message& m) { return m.end == End::kNone ? kPerMessage : 100; }

std::size_t LiveBytes(const Message& m) {
  std::size_t live = kStateBytes + m.request.id.size() + m.request.key.size() + m.request.body.size();
  for (const auto& [name, value] : m.request.attributes) live += 8 + name.size() + value.size();
  return live + RecordsToCome(m) + kPerNote * m.history.size();
}

void NoteMayHaveRun(Message& m) {
  if (m.may_have_run) return;
  m.may_have_run = m.out_since;
  m.may_have_run_at = m.out_at;
}

bool Applier::State(std::string_view record, std::uint64_t sequence, std::uint64_t segment) {
  Message m;
  std::uint32_t ordinal = 0;
  if (!ReadState(record, m, ordinal)) return false;
  const std::uint64_t number = m.number;
  highest_ = std::max(highest_, number);
  unknown_.erase(number);
  Trace& trace = traces_[number];
  // Copied forward: nothing may be missing between what was known and this.
  const bool broken = trace.first != 0 && ordinal < trace.ordinal;
  trace = {ordinal, sequence, sequence, segment, broken};
  ledger_.Remove(number);
  ledger_.Add(std::move(m));
  return true;
}

bool Applier::Apply(std::string_view record, std::uint64_t sequence, std::uint64_t segment) {
  Reader in(record);
  const auto kind = static_cast<RecordKind>(in.Number<char>());
  if (kind == RecordKind::kState) return State(record, sequence, segment);
  if (kind == RecordKind::kBatch) {
    bool fine = true;
    for (auto n = in.Number<std::uint32_t>(); n > 0 && in.fine(); --n) {
      fine = State(in.View(), sequence, segment) && fine;
    }
    return fine && in.fine() && in.empty();
  }
  const auto number = in.Number<std::uint64_t>();
  const auto ordinal = in.Number<std::uint32_t>();
  Message* m = ledger_.Find(number);
  const auto traced = traces_.find(number);
  if (!in.fine()) return false;
  highest_ = std::max(highest_, number);
  if (m == nullptr || traced == traces_.end()) {
    // Of a message that was over before what is read began; unless its end never comes.
    const bool over = kind == RecordKind::kEnd || kind == RecordKind::kTold || kind == RecordKind::kKept ||
                      kind == RecordKind::kGone;
    if (over) {
      unknown_.erase(number);
    } else if (traced == traces_.end()) {
      unknown_.emplace(number, sequence);
    }
    return true;
  }
  Trace& trace = traced->second;
  if (ordinal <= trace.ordinal) return true;  // its state held this already
  trace.broken = trace.broken || ordinal != trace.ordinal + 1;
  trace.ordinal = ordinal;
  trace.last = sequence;
  switch (kind) {
    case RecordKind::kAttempt: {
      if (m->out) NoteMayHaveRun(*m);  // the end of an earlier process cut that call off
      m->out_since = in.At();
      m->out_at = in.Text();
      m->attempts += 1;
      m->out = true;
      const bool noted = in.Flag();
      const Moment moment = ReadMoment(in);
      if (moment.wall > last_moment_.wall) last_moment_ = moment;
      if (noted) m->history.push_back({moment, m->out_at, {}, Duration(0)});
      break;
    }
    case RecordKind::kOutcome: {
      const std::optional<Outcome> outcome = ReadOutcome(in);
      const Duration told_wait = in.At();
      if (!outcome) return false;
      m->out = false;
      if (MayHaveRun(*outcome)) NoteMayHaveRun(*m);
      if (!m->history.empty()) {
        m->history.back().outcome = outcome;
        m->history.back().told_wait = told_wait;
      }
      break;
    }
    case RecordKind::kEnd: {
      const auto end = Named<enum End>(in, static_cast<int>(End::kOver) + 1);
      const Duration again = in.At();
      const Time at = in.At();
      const bool notice = in.Flag();
      if (m->out) NoteMayHaveRun(*m);  // it ended with its call out, and how that came back is not on record
      m->out = false;
      m->reason = Named<Reason>(in, static_cast<int>(Reason::kForbiddenOnRestart) + 1);
      m->kept_owed = in.Flag();
      const std::optional<Outcome> last = ReadOutcome(in);
      if (last && !m->history.empty()) m->history.back().outcome = last;
      ledger_.End(*m, end, again, at);
      m->notice_owed = notice;
      ledger_.Settle(*m);
      break;
    }
    case RecordKind::kTold:
      m->notice_owed = false;
      ledger_.Settle(*m);
      break;
    case RecordKind::kKept:
      ledger_.Kept(*m);
      break;
    case RecordKind::kGone:
      ledger_.Remove(number);
      break;
    default:
      return false;
  }
  if (ledger_.Find(number) == nullptr) traces_.erase(number);
  return in.fine() && in.empty();
}

std::vector<std::uint64_t> Applier::Finish() {
  std::vector<std::uint64_t> suspects, numbers;
  for (const auto& [number, m] : ledger_.messages()) numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    Message& m = *ledger_.Find(number);
    const Trace& trace = traces_[number];
    const bool incomplete = trace.broken || std::any_of(gaps_.begin(), gaps_.end(), [&](const auto& gap) {
                              return gap.first > trace.last;
                            });
    if (m.out) NoteMayHaveRun(m);
    m.out = false;
    if (incomplete && m.end == End::kNone) {
      // When it may have run is not known: long enough ago for every window to be over.
      m.may_have_run = Time(0);
      suspects.push_back(number);
    }
    ledger_.Settle(m);
  }
  std::erase_if(traces_, [&](const auto& entry) { return ledger_.Find(entry.first) == nullptr; });
  // Without a gap, what is unknown was dropped because it was over.
  std::erase_if(unknown_, [&](const auto& entry) {
    return std::none_of(gaps_.begin(), gaps_.end(),
                        [&](const auto& gap) { return gap.second <= entry.second; });
  });
  return suspects;
}

}  // namespace sagetally
