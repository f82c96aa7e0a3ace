#include "journal/snapshot.h"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "journal/errors.h"

namespace sagetally {
namespace {

// A try fails if the node drops a segment during it, which a running node does about once per second.
constexpr int kMaxTries = 100;
constexpr std::size_t kCopyChunkBytes = 1 << 20;

struct OpenSegment {
  std::uint64_t number = 0;
  std::uint64_t size = 0;
  std::unique_ptr<File> file;
};

struct OpenJournal {
  Manifest manifest;
  std::vector<OpenSegment> segments;
};

IoResult<OpenSegment> TryOpenSegment(FileSystem& files, const std::string& folder, std::uint64_t number) {
  auto opened = files.Open(folder + "/" + SegmentName(number), FileSystem::Mode::kRead);
  if (!opened.ok()) return {{}, opened.error};
  const auto size = opened.value->Size();
  return {{number, size.value, std::move(opened.value)}, size.error};
}

IoResult<std::vector<OpenSegment>> TryOpenSegments(FileSystem& files, const std::string& folder,
                                                   const Manifest& manifest) {
  std::vector<OpenSegment> segments;
  for (std::uint64_t number = manifest.oldest; number <= manifest.newest; ++number) {
    auto opened = TryOpenSegment(files, folder, number);
    if (!opened.ok()) return {{}, opened.error};
    segments.push_back(std::move(opened.value));
  }
  return {std::move(segments), 0};
}

// Opens all segments that the manifest lists. If one of them was removed meanwhile, starts again with a new
// reading of the manifest.
OpenJournal OpenJournalFiles(FileSystem& files, const std::string& folder) {
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const ManifestFile read = ReadManifestFile(files, folder);
    if (!read.manifest) {
      throw JournalMissingError(folder,
                                std::string("expected a journal, found ") +
                                    (read.error == ENOENT ? "no MANIFEST" : "a MANIFEST that can't be read"));
    }
    auto segments = TryOpenSegments(files, folder, *read.manifest);
    if (segments.ok()) return {*read.manifest, std::move(segments.value)};
    if (segments.error != ENOENT) throw JournalIoError(folder, segments.error);
  }
  throw JournalMissingError(folder, "a segment is missing");
}

void CopySegment(FileSystem& files, const OpenSegment& segment, const std::string& path) {
  const auto opened = files.Open(path, FileSystem::Mode::kCreate);
  ThrowOnError(path, opened.error);
  std::string chunk;
  std::uint64_t offset = 0;
  while (offset < segment.size) {
    chunk.resize(std::min<std::uint64_t>(kCopyChunkBytes, segment.size - offset));
    const auto [count, error] = segment.file->ReadAt(offset, chunk.data(), chunk.size());
    if (error == EINTR) continue;
    ThrowOnError(path, error);
    if (count == 0) throw JournalIoError(path, EIO);
    chunk.resize(count);
    ThrowOnError(path, WriteAll(*opened.value, chunk).error);
    offset += count;
  }
  ThrowOnError(path, opened.value->Sync());
}

// Copies the segments to the folder `destination`, where their numbers start with `first_number`. Returns
// their total size in bytes.
std::uint64_t CopySegments(FileSystem& files, const std::vector<OpenSegment>& segments,
                           const std::string& destination, std::uint64_t first_number) {
  std::uint64_t number = first_number;
  std::uint64_t bytes = 0;
  for (const OpenSegment& segment : segments) {
    CopySegment(files, segment, destination + "/" + SegmentName(number));
    ++number;
    bytes += segment.size;
  }
  return bytes;
}

// Replays the snapshot. Throws if there is none, or if it is damaged and `allow_damaged` is false.
ReplayReport CheckSnapshot(FileSystem& files, const std::string& folder, bool allow_damaged) {
  MessageTable messages;
  RecordApplier applier(messages);
  ReplayReport report = Replay(files, folder, applier);
  if (report.segments.empty()) throw JournalMissingError(folder, "expected a snapshot of a journal");
  if (report.is_damaged() && !allow_damaged) {
    throw JournalDamagedError(folder,
                              "this snapshot is damaged (sagetally journal verify lists the damage); pass "
                              "--damaged to restore it anyway");
  }
  return report;
}

std::unique_ptr<FileLock> LockDestination(FileSystem& files, const std::string& folder) {
  auto lock = files.Lock(folder + "/lock");
  if (lock.error == EWOULDBLOCK) {
    throw JournalLockedError(folder, "a running process has locked this journal");
  }
  ThrowOnError(folder, lock.error);
  return std::move(lock.value);
}

}  // namespace

ReplayReport ReplayLive(FileSystem& files, const std::string& folder, MessageTable& messages) {
  for (int tries = 0;; ++tries) {
    messages = MessageTable();
    RecordApplier applier(messages);
    ReplayReport report = Replay(files, folder, applier);
    const auto after = ReadManifestFile(files, folder).manifest;
    if (!after || after->oldest == report.manifest.oldest || tries >= kMaxTries) return report;
  }
}

SnapshotResult WriteSnapshot(FileSystem& files, const std::string& source, const std::string& destination) {
  const OpenJournal journal = OpenJournalFiles(files, source);
  ThrowOnError(destination, files.MakeFolder(destination));
  const ManifestFile present = ReadManifestFile(files, destination);
  if (present.manifest || present.error != ENOENT) {
    throw JournalExistsError(destination, "expected a folder without a journal");
  }
  SnapshotResult result;
  result.manifest = journal.manifest;
  result.segments = journal.segments.size();
  result.bytes = CopySegments(files, journal.segments, destination, journal.manifest.oldest);
  ThrowOnError(destination, WriteManifest(files, destination, journal.manifest, true));
  return result;
}

SnapshotResult RestoreSnapshot(FileSystem& files, const std::string& source, const std::string& destination,
                               const RestoreOptions& options) {
  const ReplayReport report = CheckSnapshot(files, source, options.allow_damaged);
  ThrowOnError(destination, files.MakeFolder(destination));
  const auto lock = LockDestination(files, destination);
  const std::optional<Manifest> replaced = ReadManifestFile(files, destination).manifest;
  const std::vector<std::uint64_t> replaced_segments = ListSegments(files, destination);
  if ((replaced || !replaced_segments.empty()) && !options.replace) {
    throw JournalExistsError(destination,
                             "already contains a journal; pass --replace to replace it with the snapshot");
  }
  const OpenJournal snapshot = OpenJournalFiles(files, source);
  SnapshotResult result;
  Manifest& manifest = result.manifest;
  manifest = snapshot.manifest;
  const std::uint64_t first_number =
      std::max(manifest.oldest, replaced_segments.empty() ? 0 : replaced_segments.back() + 1);
  result.segments = snapshot.segments.size();
  result.bytes = CopySegments(files, snapshot.segments, destination, first_number);
  manifest.newest = first_number + (manifest.newest - manifest.oldest);
  manifest.oldest = first_number;
  manifest.epoch = std::max(manifest.epoch, replaced ? replaced->epoch : 0) + 1;
  if (!options.exact) manifest.unknown_from = report.next_sequence;
  ThrowOnError(destination, WriteManifest(files, destination, manifest, true));
  for (const std::uint64_t number : replaced_segments) {
    files.Remove(destination + "/" + SegmentName(number));
  }
  return result;
}

}  // namespace sagetally
