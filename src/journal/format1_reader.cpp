#include "journal/format1_reader.h"

#include <zlib.h>

#include <cerrno>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/byte_codec.h"
#include "journal/records.h"

namespace sagetally {
namespace {

// Kinds of records.
constexpr char kState = 'S', kAttempt = 'A', kOutcome = 'O', kEnd = 'E', kTold = 'N', kKept = 'K';
constexpr std::size_t kHead = 8;                       // length and checksum
constexpr std::size_t kMostLegacyRecord = 256 * 1024;  // a longer one is no record
constexpr std::uint64_t kMostFile = 1ULL << 32;

std::uint32_t Checksum(std::string_view text) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
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
  m.out = in.Flag();
  m.out_since = in.At();
  m.out_at = in.Text();
  const bool may = in.Flag();
  const Time may_at = in.At();
  if (may) m.may_have_run = may_at;
  m.may_have_run_at = in.Text();
  m.end = in.Number<enum End>();
  m.again = in.At();
  m.ended_at = in.At();
  m.notice_owed = in.Flag();
  if (in.empty()) return m;
  m.taken_at = in.At();
  m.reason = in.Number<Reason>();
  m.kept_owed = in.Flag();
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

bool Apply(std::string_view record, Ledger& ledger) {
  Reader in(record);
  const char kind = in.Number<char>();
  const auto number = in.Number<std::uint64_t>();
  if (kind == kState) {
    Message m = ReadState(in, number);
    if (!in.fine()) return false;
    ledger.Remove(number);
    ledger.Add(std::move(m));
    return true;
  }
  Message* m = ledger.Find(number);
  if (kind == kAttempt) {
    const Time since = in.At();
    std::string at = in.Text();
    if (m != nullptr && in.fine()) {
      if (m->out) NoteMayHaveRun(*m);  // the end of an earlier process cut that call off
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
        m->kept_owed = in.Flag();
        if (const auto last = in.Number<std::int32_t>(); last >= 0 && !m->history.empty()) {
          m->history.back().outcome = static_cast<Outcome>(last);
        }
      }
      ledger.End(*m, end, again, at);
      ledger.Settle(*m);
    }
  } else if (kind == kTold) {
    if (m != nullptr) {
      m->notice_owed = false;
      ledger.Settle(*m);
    }
  } else if (kind == kKept) {
    if (m != nullptr) ledger.Kept(*m);
  } else {
    return false;
  }
  return in.fine();
}

}  // namespace

LegacyReport ReadLegacy(FileSystem& files, const std::string& path, Ledger& ledger) {
  LegacyReport report;
  int error = 0;
  const auto file = files.Open(path, FileSystem::Mode::kRead, error);
  if (error == ENOENT) return report;
  const std::string text = file ? ReadAll(*file, kMostFile, error) : std::string();
  if (error != 0) throw std::runtime_error(path + ": " + ErrorText(error));
  report.found = true;
  std::size_t at = 0;
  while (text.size() - at >= kHead) {
    Reader head(std::string_view(text).substr(at, kHead));
    const auto size = head.Number<std::uint32_t>();
    const auto sum = head.Number<std::uint32_t>();
    if (size > kMostLegacyRecord || size > text.size() - at - kHead) break;
    const std::string_view record = std::string_view(text).substr(at + kHead, size);
    if (Checksum(record) != sum || !Apply(record, ledger)) break;
    at += kHead + size;
    ++report.records;
  }
  report.torn_bytes = text.size() - at;
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, m] : ledger.messages()) numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    Message& m = *ledger.Find(number);
    if (m.out) NoteMayHaveRun(m);
    m.out = false;
    ledger.Settle(m);
  }
  return report;
}

}  // namespace sagetally
