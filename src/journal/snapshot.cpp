#include "journal/snapshot.h"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

namespace sagetally {
namespace {

constexpr int kTries = 100;  // a node drops a segment every second or so
constexpr std::size_t kChunk = 1 << 20;

[[noreturn]] void Raise(const std::string& path, int error) {
  throw std::runtime_error(path + ": " + ErrorText(error));
}

struct OpenSegment {
  std::uint64_t number = 0, size = 0;
  std::unique_ptr<File> file;
};

// All segments that a manifest names, open; it is read again while they change.
std::vector<OpenSegment> OpenAll(FileSystem& files, const std::string& folder, Manifest& manifest) {
  int error = 0;
  for (int tries = 0; tries < kTries; ++tries) {
    const auto read = ReadManifestFile(files, folder, error);
    if (!read) {
      throw std::runtime_error(folder + ": expected a journal, found " +
                               (error == ENOENT ? "no MANIFEST" : "a MANIFEST that can't be read"));
    }
    manifest = *read;
    std::vector<OpenSegment> all;
    for (std::uint64_t number = manifest.oldest; number <= manifest.newest; ++number) {
      OpenSegment segment;
      segment.number = number;
      segment.file = files.Open(folder + "/" + SegmentName(number), FileSystem::Mode::kRead, error);
      if (!segment.file) break;
      segment.size = segment.file->Size(error);
      if (error != 0) break;
      all.push_back(std::move(segment));
    }
    if (error == 0) return all;
    if (error != ENOENT) Raise(folder, error);
  }
  throw std::runtime_error(folder + ": a segment is missing");
}

// The segments' bytes under numbers from `first` on.
std::uint64_t CopyAll(FileSystem& files, const std::vector<OpenSegment>& all, const std::string& to,
                      std::uint64_t first) {
  std::uint64_t bytes = 0;
  for (const OpenSegment& segment : all) {
    const std::string path = to + "/" + SegmentName(first++);
    int error = 0;
    const auto out = files.Open(path, FileSystem::Mode::kCreate, error);
    if (!out) Raise(path, error);
    std::string chunk;
    for (std::uint64_t at = 0; at < segment.size; at += chunk.size()) {
      chunk.resize(std::min<std::uint64_t>(kChunk, segment.size - at));
      const std::size_t got = segment.file->ReadAt(at, chunk.data(), chunk.size(), error);
      if (error == EINTR) {
        chunk.clear();
        continue;
      }
      if (error != 0 || got == 0) Raise(path, error != 0 ? error : EIO);
      chunk.resize(got);
      WriteAll(*out, chunk, error);
      if (error != 0) Raise(path, error);
    }
    if ((error = out->Sync()) != 0) Raise(path, error);
    bytes += segment.size;
  }
  return bytes;
}

}  // namespace

ReplayReport ReplayLive(FileSystem& files, const std::string& folder, MessageTable& ledger) {
  for (int tries = 0;; ++tries) {
    ledger = MessageTable();
    RecordApplier applier(ledger);
    ReplayReport report = Replay(files, folder, applier);
    int error = 0;
    const auto after = ReadManifestFile(files, folder, error);
    if (!after || after->oldest == report.manifest.oldest || tries >= kTries) return report;
  }
}

SnapshotResult WriteSnapshot(FileSystem& files, const std::string& from, const std::string& to) {
  SnapshotResult copied;
  const std::vector<OpenSegment> all = OpenAll(files, from, copied.manifest);
  int error = files.MakeFolder(to);
  if (error != 0) Raise(to, error);
  if (ReadManifestFile(files, to, error) || error != ENOENT) {
    throw std::runtime_error(to + ": expected a folder without a journal");
  }
  copied.segments = all.size();
  copied.bytes = CopyAll(files, all, to, copied.manifest.oldest);
  if ((error = WriteManifest(files, to, copied.manifest, true)) != 0) Raise(to, error);
  return copied;
}

SnapshotResult RestoreSnapshot(FileSystem& files, const std::string& from, const std::string& to,
                               const RestoreOptions& options) {
  MessageTable ledger;
  RecordApplier applier(ledger);
  const ReplayReport report = Replay(files, from, applier);
  if (report.segments.empty()) throw std::runtime_error(from + ": expected a snapshot of a journal");
  if (report.is_damaged() && !options.allow_damaged) {
    throw std::runtime_error(from +
                             ": this snapshot is damaged (sagetally journal verify); --damaged takes it");
  }
  int error = files.MakeFolder(to);
  if (error != 0) Raise(to, error);
  const auto lock = files.Lock(to + "/lock", error);
  if (!lock) {
    if (error == EWOULDBLOCK) throw std::runtime_error(to + ": a running process holds this journal");
    Raise(to, error);
  }
  const auto there = ReadManifestFile(files, to, error);
  const std::vector<std::uint64_t> numbers = ListSegments(files, to);
  if ((there || !numbers.empty()) && !options.replace) {
    throw std::runtime_error(to + ": holds a journal already; --replace puts the snapshot in its place");
  }
  SnapshotResult copied;
  const std::vector<OpenSegment> all = OpenAll(files, from, copied.manifest);
  Manifest& m = copied.manifest;
  const std::uint64_t first = std::max(m.oldest, numbers.empty() ? 0 : numbers.back() + 1);
  copied.segments = all.size();
  copied.bytes = CopyAll(files, all, to, first);
  m.newest = first + (m.newest - m.oldest);
  m.oldest = first;
  m.epoch = std::max(m.epoch, there ? there->epoch : 0) + 1;
  if (!options.exact) m.unknown_from = report.next_sequence;
  if ((error = WriteManifest(files, to, m, true)) != 0) Raise(to, error);
  for (const std::uint64_t number : numbers) files.Remove(to + "/" + SegmentName(number));
  return copied;
}

}  // namespace sagetally
