#include "journal/id_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

#include "base/byte_codec.h"

namespace sagetally {
namespace {

constexpr std::string_view kFilePrefix = "ids-";
constexpr std::size_t kNumberDigits = 16;
// A new file begins at this size, or at this part of the space for all files if that is less.
constexpr std::uint64_t kMaxFileBytes = 32 * 1024;
constexpr std::uint64_t kMaxFileFraction = 4;

std::string FileName(std::uint64_t number) {
  return fmt::format("{}{:0{}}", kFilePrefix, number, kNumberDigits);
}

// Returns the number in the name of an id file, or nothing if this is not the name of one.
std::optional<std::uint64_t> FileNumber(std::string_view name) {
  if (name.size() != kFilePrefix.size() + kNumberDigits || !name.starts_with(kFilePrefix)) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + kFilePrefix.size(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

// An entry holds the outcome and the time of expiry in one number: the outcome in the bits above the time.
constexpr unsigned kTimeBits = 56;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kTimeBits) - 1;

bool IsKnownOutcome(std::uint64_t outcome) {
  return outcome >= static_cast<std::uint64_t>(SubmissionOutcome::kAccepted) &&
         outcome <= static_cast<std::uint64_t>(SubmissionOutcome::kWithdrawn);
}

}  // namespace

std::string EncodeIdEntry(const RememberedId& id, std::uint64_t salt) {
  const auto outcome = static_cast<std::uint64_t>(id.outcome);
  const auto expires_at = static_cast<std::uint64_t>(id.expires_at.count()) & kTimeMask;
  ByteWriter out;
  out.AppendNumber(id.hash).AppendNumber(outcome << kTimeBits | expires_at);
  const std::uint32_t checksum = Crc32c(out.bytes(), salt);
  return out.AppendNumber(checksum).bytes();
}

std::optional<RememberedId> DecodeIdEntry(std::string_view entry, std::uint64_t salt) {
  if (entry.size() != IdLog::kEntryBytes) return std::nullopt;
  ByteReader in(entry);
  RememberedId id;
  id.hash = in.ReadNumber<std::uint64_t>();
  const auto outcome_and_expiry = in.ReadNumber<std::uint64_t>();
  const auto checksum = in.ReadNumber<std::uint32_t>();
  const std::string_view checked = entry.substr(0, entry.size() - sizeof checksum);
  const std::uint64_t outcome = outcome_and_expiry >> kTimeBits;
  if (checksum != Crc32c(checked, salt) || !IsKnownOutcome(outcome)) return std::nullopt;
  id.outcome = static_cast<SubmissionOutcome>(outcome);
  id.expires_at = Time(static_cast<std::int64_t>(outcome_and_expiry & kTimeMask));
  return id;
}

IdLog::IdLog(FileSystem& files, std::string folder, std::uint64_t max_bytes)
    : files_(files),
      folder_(std::move(folder)),
      max_bytes_(max_bytes),
      max_file_bytes_(std::min(kMaxFileBytes, max_bytes / kMaxFileFraction)) {}

std::string IdLog::PathOf(std::uint64_t number) const { return folder_ + "/" + FileName(number); }

void IdLog::Load(std::uint64_t salt, IdHistory& history, Time now) {
  for (const std::string& name : files_.List(folder_).value) {
    if (const auto number = FileNumber(name)) id_files_.push_back({*number, 0, Time(0)});
  }
  std::ranges::sort(id_files_, {}, &IdFile::number);
  for (IdFile& id_file : id_files_) {
    const auto opened = files_.Open(PathOf(id_file.number), FileSystem::Mode::kRead);
    if (!opened.ok()) continue;
    id_file.bytes = opened.value->Size().value;
    const std::string content = ReadAll(*opened.value, max_bytes_).value;
    for (std::string_view left = content; left.size() >= kEntryBytes; left.remove_prefix(kEntryBytes)) {
      const auto id = DecodeIdEntry(left.substr(0, kEntryBytes), salt);
      if (!id) continue;
      id_file.expires_at = std::max(id_file.expires_at, id->expires_at);
      history.Restore(*id, now);
    }
  }
}

int IdLog::Append(const std::deque<RememberedId>& ids, std::uint64_t salt, Time now) {
  RemoveExpired(now);
  std::string entries;
  Time expires_at{0};
  for (const RememberedId& id : ids) {
    if (id.expires_at <= now) continue;
    entries += EncodeIdEntry(id, salt);
    expires_at = std::max(expires_at, id.expires_at);
    if (entries.size() + kEntryBytes <= max_file_bytes_) continue;
    if (const int error = AppendEntries(std::exchange(entries, {}), expires_at); error != 0) return error;
  }
  return entries.empty() ? 0 : AppendEntries(entries, expires_at);
}

// Appends at most max_file_bytes_, the last of which expire at `expires_at`.
int IdLog::AppendEntries(const std::string& entries, Time expires_at) {
  if (!head_ || id_files_.back().bytes + entries.size() > max_file_bytes_) {
    if (const int error = StartFile(); error != 0) return error;
  }
  while (id_files_.size() > 1 && disk_bytes() + entries.size() + kDiskBlockBytes > max_bytes_) RemoveOldest();
  IdFile& newest = id_files_.back();
  const auto [written, error] = WriteAll(*head_, entries);
  newest.bytes += written;
  newest.expires_at = std::max(newest.expires_at, expires_at);
  // The entries have a fixed size, so nothing may follow a torn one.
  if (error != 0) head_.reset();
  return error;
}

int IdLog::StartFile() {
  const std::uint64_t number = id_files_.empty() ? 1 : id_files_.back().number + 1;
  auto opened = files_.Open(PathOf(number), FileSystem::Mode::kCreate);
  if (!opened.ok()) return opened.error;
  head_ = std::move(opened.value);
  id_files_.push_back({number, 0, Time(0)});
  return 0;
}

void IdLog::RemoveExpired(Time now) {
  while (!id_files_.empty() && id_files_.front().expires_at <= now) {
    const bool is_head = id_files_.size() == 1 && head_ != nullptr;
    if (is_head && id_files_.front().bytes == 0) return;
    RemoveOldest();
  }
}

void IdLog::RemoveOldest() {
  if (id_files_.size() == 1) head_.reset();
  files_.Remove(PathOf(id_files_.front().number));
  id_files_.pop_front();
}

std::uint64_t IdLog::disk_bytes() const {
  std::uint64_t bytes = 0;
  for (const IdFile& id_file : id_files_) bytes += DiskBlocks(id_file.bytes);
  return bytes;
}

}  // namespace sagetally
