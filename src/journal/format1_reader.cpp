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

Message ReadState(ByteReader& in, std::uint64_t number) {
  Message m;
  m.number = number;
  Request& r = m.request;
  r.id = in.ReadString();
  r.message_class = in.ReadNumber<std::int32_t>();
  r.destination = in.ReadNumber<std::int32_t>();
  m.deadline = in.ReadTime();
  r.idempotency_key = in.ReadString();
  r.body = in.ReadString();
  r.protocol = in.ReadNumber<IngressProtocol>();
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
  m.final_status = in.ReadNumber<enum FinalStatus>();
  m.retry_after = in.ReadTime();
  m.ended_at = in.ReadTime();
  m.notification_pending = in.ReadBool();
  if (in.empty()) return m;
  m.accepted_at = in.ReadTime();
  m.failure_reason = in.ReadNumber<FailureReason>();
  m.dead_letter_pending = in.ReadBool();
  m.redrive_number = in.ReadNumber<std::uint64_t>();
  m.redrive_incarnation = in.ReadNumber<std::int32_t>();
  m.redrive_node = in.ReadString();
  for (auto n = in.ReadNumber<std::uint32_t>(); n > 0 && in.ok(); --n) {
    AttemptRecord note;
    note.sent_at.wall_time = in.ReadTime();
    note.sent_at.steady_time = in.ReadTime();
    note.sent_at.boot_id = in.ReadNumber<std::uint64_t>();
    note.endpoint = in.ReadString();
    if (const auto outcome = in.ReadNumber<std::int32_t>(); outcome >= 0) note.outcome = Outcome(outcome);
    note.retry_after = in.ReadTime();
    m.history.push_back(std::move(note));
  }
  return m;
}

bool Apply(std::string_view record, MessageTable& ledger) {
  ByteReader in(record);
  const char kind = in.ReadNumber<char>();
  const auto number = in.ReadNumber<std::uint64_t>();
  if (kind == kState) {
    Message m = ReadState(in, number);
    if (!in.ok()) return false;
    ledger.Remove(number);
    ledger.Add(std::move(m));
    return true;
  }
  Message* m = ledger.Find(number);
  if (kind == kAttempt) {
    const Time since = in.ReadTime();
    std::string at = in.ReadString();
    if (m != nullptr && in.ok()) {
      if (m->is_in_flight) MarkUncertainAttempt(*m);  // the end of an earlier process cut that call off
      m->attempts += 1;
      m->is_in_flight = true;
      m->in_flight_since = since;
      m->in_flight_endpoint = std::move(at);
      if (!in.empty()) {
        AttemptRecord note;
        note.sent_at.wall_time = since;
        note.sent_at.steady_time = in.ReadTime();
        note.sent_at.boot_id = in.ReadNumber<std::uint64_t>();
        note.endpoint = m->in_flight_endpoint;
        m->history.push_back(std::move(note));
      }
    }
  } else if (kind == kOutcome) {
    const auto outcome = in.ReadNumber<std::int32_t>();
    if (m != nullptr && in.ok()) {
      m->is_in_flight = false;
      if (MayHaveRun(static_cast<Outcome>(outcome))) MarkUncertainAttempt(*m);
      if (!in.empty() && !m->history.empty()) {
        m->history.back().outcome = static_cast<Outcome>(outcome);
        m->history.back().retry_after = in.ReadTime();
      }
    }
  } else if (kind == kEnd) {
    const auto end = in.ReadNumber<enum FinalStatus>();
    const Duration again = in.ReadTime();
    const Time at = in.ReadTime();
    if (m != nullptr && in.ok()) {
      if (m->is_in_flight)
        MarkUncertainAttempt(*m);  // it ended with its call out, and how that came back is not on record
      m->is_in_flight = false;
      if (!in.empty()) {
        m->failure_reason = in.ReadNumber<FailureReason>();
        m->dead_letter_pending = in.ReadBool();
        if (const auto last = in.ReadNumber<std::int32_t>(); last >= 0 && !m->history.empty()) {
          m->history.back().outcome = static_cast<Outcome>(last);
        }
      }
      ledger.Complete(*m, end, again, at);
      ledger.RemoveIfFinished(*m);
    }
  } else if (kind == kTold) {
    if (m != nullptr) {
      m->notification_pending = false;
      ledger.RemoveIfFinished(*m);
    }
  } else if (kind == kKept) {
    if (m != nullptr) ledger.MarkDeadLettered(*m);
  } else {
    return false;
  }
  return in.ok();
}

}  // namespace

Format1Report ReadFormat1(FileSystem& files, const std::string& path, MessageTable& ledger) {
  Format1Report report;
  int error = 0;
  const auto file = files.Open(path, FileSystem::Mode::kRead, error);
  if (error == ENOENT) return report;
  const std::string text = file ? ReadAll(*file, kMostFile, error) : std::string();
  if (error != 0) throw std::runtime_error(path + ": " + ErrorText(error));
  report.found = true;
  std::size_t at = 0;
  while (text.size() - at >= kHead) {
    ByteReader head(std::string_view(text).substr(at, kHead));
    const auto size = head.ReadNumber<std::uint32_t>();
    const auto sum = head.ReadNumber<std::uint32_t>();
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
    if (m.is_in_flight) MarkUncertainAttempt(m);
    m.is_in_flight = false;
    ledger.RemoveIfFinished(m);
  }
  return report;
}

}  // namespace sagetally
