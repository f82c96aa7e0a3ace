#include "journal/replay.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

#include "journal/errors.h"

namespace sagetally {
namespace {

constexpr std::uint64_t kMaxSegmentFileBytes = 1ULL << 32;  // the rest of a longer file is ignored
constexpr std::uint64_t kMaxHeaderReadBytes = 8192;         // bytes read to decode a segment's header

IoResult<std::string> ReadFile(FileSystem& files, const std::string& path, std::uint64_t max_bytes) {
  const auto opened = files.Open(path, FileSystem::Mode::kRead);
  if (!opened.ok()) return {{}, opened.error};
  return ReadAll(*opened.value, max_bytes);
}

// Returns a manifest with what the headers of the segments `numbers` say. `numbers` must not be empty.
Manifest ReconstructManifest(FileSystem& files, const std::string& folder,
                             const std::vector<std::uint64_t>& numbers) {
  Manifest manifest;
  manifest.oldest = numbers.front();
  manifest.newest = numbers.back();
  for (const std::uint64_t number : numbers) {
    const auto bytes = ReadFile(files, folder + "/" + SegmentName(number), kMaxHeaderReadBytes);
    const auto decoded = DecodeSegmentHeader(bytes.value);
    if (!decoded) continue;
    manifest.node = decoded->header.node;
    manifest.salt = decoded->header.salt;
    manifest.epoch = std::max(manifest.epoch, decoded->header.epoch);
  }
  return manifest;
}

// Replays one journal, once.
class Replayer {
 public:
  Replayer(FileSystem& files, const std::string& folder, RecordApplier& applier, const ReplayOptions& options)
      : files_(files), folder_(folder), applier_(applier), options_(options) {}

  ReplayReport Run() {
    if (!LoadManifest()) return std::move(report_);
    for (std::uint64_t number = report_.manifest.oldest; number <= report_.manifest.newest; ++number) {
      ReplaySegment(number);
    }
    Finish();
    return std::move(report_);
  }

 private:
  // Returns false if there is no journal.
  bool LoadManifest() {
    const ManifestFile read = ReadManifestFile(files_, folder_);
    if (read.error != ENOENT) ThrowOnError(folder_ + "/" + kManifestName, read.error);
    if (read.manifest) {
      report_.manifest = *read.manifest;
      return true;
    }
    const std::vector<std::uint64_t> numbers = ListSegments(files_, folder_);
    if (numbers.empty()) return false;
    report_.manifest = ReconstructManifest(files_, folder_, numbers);
    report_.manifest_lost = true;
    return true;
  }

  void ReplaySegment(std::uint64_t number) {
    const std::string path = folder_ + "/" + SegmentName(number);
    const auto content = ReadFile(files_, path, kMaxSegmentFileBytes);
    SegmentReport& segment = report_.segments.emplace_back();
    segment.number = number;
    if (content.error == ENOENT) {
      segment.missing = true;
      return;
    }
    ThrowOnError(path, content.error);
    segment.bytes = content.value.size();
    report_.bytes += segment.bytes;
    const std::optional<DecodedSegmentHeader> decoded = DecodeHeader(path, content.value);
    segment.header_missing = !decoded;
    if (decoded) {
      segment.epoch = decoded->header.epoch;
      SkipTo(decoded->header.first_sequence);
    }
    ApplyFrames(segment, content.value, decoded ? decoded->size : 0,
                decoded ? decoded->header.salt : report_.manifest.salt);
  }

  static std::optional<DecodedSegmentHeader> DecodeHeader(const std::string& path, std::string_view bytes) {
    try {
      return DecodeSegmentHeader(bytes);
    } catch (const UnsupportedFormatError& error) {
      throw UnsupportedFormatError(path, error.format());
    }
  }

  // Called with the first sequence number in a segment's header. The records between the last one and this
  // one are missing, unless this is the first segment.
  void SkipTo(std::uint64_t sequence) {
    if (sequence <= expected_sequence_) return;
    if (expected_sequence_ != 0) AddMissing(expected_sequence_, sequence);
    expected_sequence_ = sequence;
  }

  void ApplyFrames(SegmentReport& segment, std::string_view file, std::size_t header_size,
                   std::uint64_t salt) {
    const auto on_record = [&](std::string_view record, std::uint64_t sequence) {
      if (expected_sequence_ != 0 && sequence > expected_sequence_) AddMissing(expected_sequence_, sequence);
      expected_sequence_ = sequence + 1;
      ++report_.records;
      if (!applier_.Apply(record, sequence, segment.number)) ++report_.invalid_records;
    };
    const FrameScan scan = ScanFrames(file.substr(header_size), salt, expected_sequence_, on_record);
    segment.frames = scan.frames;
    for (UnreadableRange range : scan.unreadable) {
      range.offset += header_size;
      report_.unreadable_bytes += range.bytes;
      if (options_.on_unreadable) {
        options_.on_unreadable(segment.number, range, file.substr(range.offset, range.bytes));
      }
      segment.unreadable.push_back(range);
    }
  }

  void AddMissing(std::uint64_t first_sequence, std::uint64_t end_sequence) {
    report_.missing.push_back({first_sequence, end_sequence});
    applier_.AddMissingRange(first_sequence, end_sequence);
  }

  void Finish() {
    // The first segment is created before the first manifest. If no segment contains anything, there was no
    // manifest yet, and none was lost.
    if (report_.records == 0 && report_.unreadable_bytes == 0) report_.manifest_lost = false;
    report_.next_sequence = std::max<std::uint64_t>(1, expected_sequence_);
    const std::uint64_t unknown_from = report_.manifest.unknown_from;
    if (unknown_from != 0) applier_.AddMissingRange(unknown_from, unknown_from + 1);
    report_.incomplete_histories = applier_.Finish();
    report_.lost_messages = applier_.lost_message_count();
    report_.latest_timestamp = LatestTimestamp();
  }

  // If the latest attempt was recorded with its wall time only, its steady time is computed from the
  // manifest, which the same process wrote: the time that passed since then is added to the manifest's steady
  // time.
  Timestamp LatestTimestamp() const {
    const Timestamp latest = applier_.latest_timestamp();
    const Timestamp& written = report_.manifest.written;
    if (latest.boot_id != 0 || written.wall_time <= Time(0)) return latest;
    const Duration elapsed = std::max(Duration(0), latest.wall_time - written.wall_time);
    return {written.wall_time + elapsed, written.steady_time + elapsed, written.boot_id};
  }

  FileSystem& files_;
  const std::string& folder_;
  RecordApplier& applier_;
  const ReplayOptions& options_;
  ReplayReport report_;
  std::uint64_t expected_sequence_ = 0;  // sequence number of the next record; 0 while it is not known
};

}  // namespace

std::vector<std::uint64_t> ListSegments(FileSystem& files, const std::string& folder) {
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : files.List(folder).value) {
    if (const auto number = SegmentNumber(name)) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

ReplayReport Replay(FileSystem& files, const std::string& folder, RecordApplier& applier,
                    const ReplayOptions& options) {
  return Replayer(files, folder, applier, options).Run();
}

}  // namespace sagetally
