#include "journal/replay.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <stdexcept>

namespace sagetally {
namespace {

constexpr std::uint64_t kMostSegment = 1ULL << 32;  // a longer file is read up to here

std::string ReadSegment(FileSystem& files, const std::string& path, int& error) {
  const auto file = files.Open(path, FileSystem::Mode::kRead, error);
  return file ? ReadAll(*file, kMostSegment, error) : std::string();
}

// Without a manifest: what the segments' own headers say.
Manifest FromSegments(FileSystem& files, const std::string& folder,
                      const std::vector<std::uint64_t>& numbers) {
  Manifest m;
  m.oldest = numbers.front();
  m.newest = numbers.back();
  for (const std::uint64_t number : numbers) {
    int error = 0;
    SegmentHeader header;
    const auto file = files.Open(folder + "/" + SegmentName(number), FileSystem::Mode::kRead, error);
    if (!file || !DecodeSegmentHeader(ReadAll(*file, 8192, error), header)) continue;
    m.node = header.node;
    m.salt = header.salt;
    m.epoch = std::max(m.epoch, header.epoch);
  }
  return m;
}

}  // namespace

std::vector<std::uint64_t> ListSegments(FileSystem& files, const std::string& folder) {
  std::vector<std::uint64_t> numbers;
  int error = 0;
  for (const std::string& name : files.List(folder, error)) {
    if (const auto number = SegmentNumber(name)) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

ReplayReport Replay(FileSystem& files, const std::string& folder, RecordApplier& applier,
                    const ReplayOptions& options) {
  ReplayReport report;
  int error = 0;
  const std::optional<Manifest> manifest = ReadManifestFile(files, folder, error);
  if (error != 0 && error != ENOENT) {
    throw std::runtime_error(folder + "/" + kManifestName + ": " + ErrorText(error));
  }
  if (manifest) {
    report.manifest = *manifest;
  } else {
    const std::vector<std::uint64_t> numbers = ListSegments(files, folder);
    if (numbers.empty()) return report;
    report.manifest = FromSegments(files, folder, numbers);
    report.manifest_lost = true;
  }
  std::uint64_t expected = 0;  // not known before the first header
  for (std::uint64_t number = report.manifest.oldest; number <= report.manifest.newest; ++number) {
    SegmentReport segment;
    segment.number = number;
    const std::string path = folder + "/" + SegmentName(number);
    const std::string bytes = ReadSegment(files, path, error);
    if (error == ENOENT) {
      segment.missing = true;
      report.segments.push_back(segment);
      continue;
    }
    if (error != 0) throw std::runtime_error(path + ": " + ErrorText(error));
    segment.bytes = bytes.size();
    report.bytes += bytes.size();
    SegmentHeader header;
    std::optional<std::size_t> head;
    try {
      head = DecodeSegmentHeader(bytes, header);
    } catch (const std::runtime_error& newer) {
      throw std::runtime_error(path + ": " + newer.what());
    }
    segment.header_missing = !head;
    segment.epoch = header.epoch;
    const std::uint64_t salt = head ? header.salt : report.manifest.salt;
    std::uint64_t next = std::max(expected, head ? header.first : expected);
    // What a header skips is missing, but for the journal's first.
    if (expected != 0 && next > expected) report.missing.push_back({expected, next});
    std::uint64_t scanned = next;
    const FrameScan scan = ScanFrames(std::string_view(bytes).substr(head.value_or(0)), salt, scanned,
                                      [&](std::string_view record, std::uint64_t sequence) {
                                        if (next != 0 && sequence > next) {
                                          report.missing.push_back({next, sequence});
                                          applier.AddMissingRange(next, sequence);
                                        }
                                        next = sequence + 1;
                                        ++report.records;
                                        if (!applier.Apply(record, sequence, number))
                                          ++report.invalid_records;
                                      });
    if (expected != 0 && std::max(expected, header.first) > expected)
      applier.AddMissingRange(expected, header.first);
    expected = std::max(next, scanned);
    segment.frames = scan.frames;
    for (UnreadableRange u : scan.unreadable) {
      u.offset += head.value_or(0);
      report.unreadable_bytes += u.bytes;
      if (options.on_unreadable) {
        options.on_unreadable(number, u, std::string_view(bytes).substr(u.offset, u.bytes));
      }
      segment.unreadable.push_back(u);
    }
    report.segments.push_back(std::move(segment));
  }
  // The first segment is begun before there is a manifest: with nothing in it none was lost.
  if (report.records == 0 && report.unreadable_bytes == 0) report.manifest_lost = false;
  report.next_sequence = std::max<std::uint64_t>(1, expected);
  if (report.manifest.unknown_from != 0) {
    applier.AddMissingRange(report.manifest.unknown_from, report.manifest.unknown_from + 1);
  }
  report.incomplete_histories = applier.Finish();
  report.lost_messages = applier.lost_message_count();
  report.latest_timestamp = applier.latest_timestamp();
  const Timestamp& written = report.manifest.written;
  if (report.latest_timestamp.boot_id == 0 && written.wall_time > Time(0)) {
    // Attempts that are noted by the wall's clock alone: the process that wrote them wrote the manifest too.
    const Duration since = std::max(Duration(0), report.latest_timestamp.wall_time - written.wall_time);
    report.latest_timestamp = {written.wall_time + since, written.steady_time + since, written.boot_id};
  }
  return report;
}

}  // namespace sagetally
