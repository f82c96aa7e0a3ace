#include "store/store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace sagetally {
namespace {

// Kinds of records.
constexpr char kState = 'S', kAttempt = 'A', kOutcome = 'O', kEnd = 'E', kTold = 'N', kKept = 'K';
constexpr std::size_t kHead = 8;                 // length and checksum
constexpr std::size_t kMostRecord = 256 * 1024;  // a longer one is no record
// Records that must find room after a message was taken: attempts, outcomes, its end.
constexpr std::size_t kPerMessage = 700;
constexpr std::size_t kPerHistory = 600;  // the same, for the history of a message

class Writer {
 public:
  template <typename T>
  Writer& Number(T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    out_.append(raw, sizeof(T));
    return *this;
  }
  Writer& Text(std::string_view text) {
    Number(static_cast<std::uint32_t>(text.size()));
    out_ += text;
    return *this;
  }
  Writer& At(Time t) { return Number(static_cast<std::int64_t>(t.count())); }
  const std::string& out() const { return out_; }

 private:
  std::string out_;
};

class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  template <typename T>
  T Number() {
    T value{};
    const std::string_view raw = Take(sizeof(T));
    if (raw.size() == sizeof(T)) std::memcpy(&value, raw.data(), sizeof(T));
    return value;
  }
  std::string Text() { return std::string(Take(Number<std::uint32_t>())); }
  Time At() { return Time(Number<std::int64_t>()); }
  bool fine() const { return fine_; }
  bool empty() const { return in_.empty(); }

 private:
  std::string_view Take(std::size_t n) {
    if (n > in_.size()) {
      fine_ = false;
      return {};
    }
    const std::string_view taken = in_.substr(0, n);
    in_.remove_prefix(n);
    return taken;
  }
  std::string_view in_;
  bool fine_ = true;
};

std::uint32_t Checksum(std::string_view text) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
}

std::string Framed(const std::string& record) {
  return Writer().Number(static_cast<std::uint32_t>(record.size())).Number(Checksum(record)).out() + record;
}

Writer Record(char kind, const Message& m) {
  Writer w;
  w.Number(kind).Number(m.number);
  return w;
}

std::string State(const Message& m) {
  Writer w = Record(kState, m);
  const Request& r = m.request;
  w.Text(r.id).Number<std::int32_t>(r.message_class).Number<std::int32_t>(r.destination).At(m.deadline);
  w.Text(r.key).Text(r.body).Number(r.form).Number(static_cast<std::uint32_t>(r.attributes.size()));
  for (const auto& [name, value] : r.attributes) w.Text(name).Text(value);
  w.Number<std::int32_t>(m.attempts).Number(m.out).At(m.out_since).Text(m.out_at);
  w.Number(m.may_have_run.has_value()).At(m.may_have_run.value_or(Time(0))).Text(m.may_have_run_at);
  w.Number(m.end).At(m.again).At(m.ended_at).Number(m.notice_owed);
  // What only messages have that may be kept; a log without it is read as one that keeps nothing.
  if (m.taken_at == Time(0) && m.kept_as == 0) return Framed(w.out());
  w.At(m.taken_at).Number(m.reason).Number(m.kept_owed).Number(m.kept_as).Number(m.kept_life);
  w.Text(m.kept_node).Number(static_cast<std::uint32_t>(m.history.size()));
  for (const AttemptNote& note : m.history) {
    w.At(note.sent.wall).At(note.sent.steady).Number(note.sent.boot).Text(note.endpoint);
    w.Number<std::int32_t>(note.outcome ? static_cast<std::int32_t>(*note.outcome) : -1).At(note.told_wait);
  }
  return Framed(w.out());
}

Message ReadState(Reader& in, std::uint64_t number) {
  Message m;
  m.number = number;
  Request& r = m.request;
  r.id = in.Text();
  r.message_class = in.Number<std::int32_t>();
  r.destination = in.Number<std::int32_t>();
  m.deadline = in.At();
  r.key = in.Text();
  r.body = in.Text();
  r.form = in.Number<Form>();
  for (auto n = in.Number<std::uint32_t>(); n > 0 && in.fine(); --n) {
    std::string name = in.Text();
    r.attributes[std::move(name)] = in.Text();
  }
  m.attempts = in.Number<std::int32_t>();
  m.out = in.Number<bool>();
  m.out_since = in.At();
  m.out_at = in.Text();
  const bool may = in.Number<bool>();
  const Time may_at = in.At();
  if (may) m.may_have_run = may_at;
  m.may_have_run_at = in.Text();
  m.end = in.Number<enum End>();
  m.again = in.At();
  m.ended_at = in.At();
  m.notice_owed = in.Number<bool>();
  if (in.empty()) return m;
  m.taken_at = in.At();
  m.reason = in.Number<Reason>();
  m.kept_owed = in.Number<bool>();
  m.kept_as = in.Number<std::uint64_t>();
  m.kept_life = in.Number<std::int32_t>();
  m.kept_node = in.Text();
  for (auto n = in.Number<std::uint32_t>(); n > 0 && in.fine(); --n) {
    AttemptNote note;
    note.sent.wall = in.At();
    note.sent.steady = in.At();
    note.sent.boot = in.Number<std::uint64_t>();
    note.endpoint = in.Text();
    if (const auto outcome = in.Number<std::int32_t>(); outcome >= 0) note.outcome = Outcome(outcome);
    note.told_wait = in.At();
    m.history.push_back(std::move(note));
  }
  return m;
}

void NoteMayHaveRun(Message& m) {
  if (m.may_have_run) return;
  m.may_have_run = m.out_since;
  m.may_have_run_at = m.out_at;
}

}  // namespace

Store::Store(std::string folder, std::size_t most_bytes, Ledger& ledger)
    : path_(std::move(folder) + "/log"), most_bytes_(most_bytes), ledger_(ledger) {
  ::unlink((path_ + ".new").c_str());  // of a compaction that was cut short
  file_ = Fd(::open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
  if (file_.get() < 0) throw std::runtime_error("can't open " + path_ + ": " + std::strerror(errno));
  Replay();
}

void Store::Replay() {
  std::string text;
  char chunk[65536];
  for (ssize_t n = 0; (n = ::read(file_.get(), chunk, sizeof chunk)) > 0;) text.append(chunk, n);
  std::size_t at = 0, records = 0;
  while (text.size() - at >= kHead) {
    Reader head(std::string_view(text).substr(at, kHead));
    const auto size = head.Number<std::uint32_t>();
    const auto sum = head.Number<std::uint32_t>();
    if (size > kMostRecord || size > text.size() - at - kHead) break;
    const std::string_view record = std::string_view(text).substr(at + kHead, size);
    if (Checksum(record) != sum || !Apply(record)) break;
    at += kHead + size;
    ++records;
  }
  if (at < text.size()) {  // guards against a record that the end of the process cut in two
    note_ = ", cut off " + std::to_string(text.size() - at) + " torn bytes";
    if (::ftruncate(file_.get(), static_cast<off_t>(at)) != 0) {
      throw std::runtime_error("can't cut " + path_ + ": " + std::strerror(errno));
    }
  }
  bytes_ = at;
  live_bound_ = LiveBytes();
  fresh_ = records == 0;
  // A call that was out when the process ended may have run.
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, m] : ledger_.messages()) numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    Message& m = *ledger_.Find(number);
    if (m.out) NoteMayHaveRun(m);
    m.out = false;
    ledger_.Settle(m);
  }
  note_ =
      std::to_string(records) + " records read, " + std::to_string(ledger_.held()) + " messages owed" + note_;
}

bool Store::Apply(std::string_view record) {
  Reader in(record);
  const char kind = in.Number<char>();
  const auto number = in.Number<std::uint64_t>();
  if (kind == kState) {
    Message m = ReadState(in, number);
    if (!in.fine()) return false;
    ledger_.Add(std::move(m));
    return true;
  }
  Message* m = ledger_.Find(number);
  if (kind == kAttempt) {
    const Time since = in.At();
    std::string at = in.Text();
    if (m != nullptr && in.fine()) {
      m->attempts += 1;
      m->out = true;
      m->out_since = since;
      m->out_at = std::move(at);
      if (!in.empty()) {
        AttemptNote note;
        note.sent.wall = since;
        note.sent.steady = in.At();
        note.sent.boot = in.Number<std::uint64_t>();
        note.endpoint = m->out_at;
        m->history.push_back(std::move(note));
      }
    }
  } else if (kind == kOutcome) {
    const auto outcome = in.Number<std::int32_t>();
    if (m != nullptr && in.fine()) {
      m->out = false;
      if (MayHaveRun(static_cast<Outcome>(outcome))) NoteMayHaveRun(*m);
      if (!in.empty() && !m->history.empty()) {
        m->history.back().outcome = static_cast<Outcome>(outcome);
        m->history.back().told_wait = in.At();
      }
    }
  } else if (kind == kEnd) {
    const auto end = in.Number<enum End>();
    const Duration again = in.At();
    const Time at = in.At();
    if (m != nullptr && in.fine()) {
      if (m->out) NoteMayHaveRun(*m);  // it ended with its call out, and how that came back is not on record
      m->out = false;
      if (!in.empty()) {
        m->reason = in.Number<Reason>();
        m->kept_owed = in.Number<bool>();
        if (const auto last = in.Number<std::int32_t>(); last >= 0 && !m->history.empty()) {
          m->history.back().outcome = static_cast<Outcome>(last);
        }
      }
      ledger_.End(*m, end, again, at);
      ledger_.Settle(*m);
    }
  } else if (kind == kTold) {
    if (m != nullptr) {
      m->notice_owed = false;
      ledger_.Settle(*m);
    }
  } else if (kind == kKept) {
    if (m != nullptr) ledger_.Kept(*m);
  } else {
    return false;
  }
  return in.fine();
}

std::size_t Store::LiveBytes(const Message& m) {
  std::size_t live = kHead + 200 + m.request.id.size() + m.request.key.size() + m.request.body.size();
  for (const auto& [name, value] : m.request.attributes) live += 8 + name.size() + value.size();
  if (m.end == End::kNone) live += kPerMessage;
  if (!m.history.empty()) live += kPerHistory;
  return live;
}

std::size_t Store::LiveBytes() const {
  std::size_t live = 0;
  for (const auto& [number, m] : ledger_.messages()) live += LiveBytes(m);
  return live;
}

bool Store::Taken(std::span<const Message* const> messages) {
  // The ledger holds them already. All that lives must fit the half that a compaction may fill; it is counted
  // anew only when what was added since the last count may be too much.
  for (const Message* m : messages) live_bound_ += LiveBytes(*m);
  if (live_bound_ > Half()) live_bound_ = LiveBytes();
  if (live_bound_ > Half()) return false;
  std::string records;
  for (const Message* m : messages) records += State(*m);
  return Append(records, false);
}

void Store::Attempted(const Message& m) {
  if (m.history.size() == 1) live_bound_ += kPerHistory;
  Writer w = Record(kAttempt, m);
  w.At(m.out_since).Text(m.out_at);
  if (!m.history.empty()) w.At(m.history.back().sent.steady).Number(m.history.back().sent.boot);
  Append(Framed(w.out()), true);
}
void Store::Outcame(const Message& m, Outcome outcome) {
  Writer w = Record(kOutcome, m);
  w.Number(static_cast<std::int32_t>(outcome));
  if (!m.history.empty()) w.At(m.history.back().told_wait);
  Append(Framed(w.out()), true);
}
void Store::Ended(const Message& m) {
  Writer w = Record(kEnd, m);
  w.Number(m.end).At(m.again).At(m.ended_at);
  if (m.kept_owed) {
    // A call that is still out has no outcome yet; the last one of a delivered message stands only here.
    const bool known = !m.history.empty() && m.history.back().outcome && !m.out;
    w.Number(m.reason).Number(m.kept_owed);
    w.Number<std::int32_t>(known ? static_cast<std::int32_t>(*m.history.back().outcome) : -1);
  }
  Append(Framed(w.out()), true);
}
void Store::Told(const Message& m) { Append(Framed(Record(kTold, m).out()), true); }

void Store::Kept(const Message& m) { Append(Framed(Record(kKept, m).out()), true); }

bool Store::Append(const std::string& records, bool must) {
  if (bytes_ + records.size() > most_bytes_ / 2) {
    // The records' effect is in the ledger already, so a compaction holds them too.
    Compact();
    return true;
  }
  std::size_t done = 0;
  while (done < records.size()) {
    const ssize_t n = ::write(file_.get(), records.data() + done, records.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      // Half a record must not stand before whole ones.
      if (::ftruncate(file_.get(), static_cast<off_t>(bytes_)) != 0 || must) {
        throw std::runtime_error("can't write " + path_ + ": " + std::strerror(errno));
      }
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  bytes_ += records.size();
  return true;
}

void Store::Compact() {
  std::string all;
  for (const auto& [number, m] : ledger_.messages()) all += State(m);
  const std::string beside = path_ + ".new";
  Fd file(::open(beside.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
  std::size_t done = 0;
  while (file.get() >= 0 && done < all.size()) {
    const ssize_t n = ::write(file.get(), all.data() + done, all.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    done += static_cast<std::size_t>(n);
  }
  if (file.get() < 0 || done < all.size() || std::rename(beside.c_str(), path_.c_str()) != 0) {
    throw std::runtime_error("can't compact " + path_ + ": " + std::strerror(errno));
  }
  file_ = std::move(file);
  bytes_ = all.size();
}

}  // namespace sagetally
