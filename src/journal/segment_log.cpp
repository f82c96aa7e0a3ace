#include "journal/segment_log.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "journal/segment.h"

namespace sagetally {
namespace {

// A segment without records, which consists of its header only, is shorter than this.
constexpr std::uint64_t kMaxEmptySegmentBytes = 32 * 1024;

}  // namespace

SegmentLog::SegmentLog(FileSystem& files, std::string folder, const Clock& clock, bool sync)
    : files_(files), folder_(std::move(folder)), clock_(clock), sync_(sync) {}

void SegmentLog::Load(const ReplayReport& report) {
  manifest_ = report.manifest;
  next_sequence_ = report.next_sequence;
  for (const SegmentReport& segment : report.segments) {
    if (!segment.missing) AddSegment(segment.number, segment.bytes);
  }
}

int SegmentLog::SaveManifest() { return WriteManifest(files_, folder_, manifest_, sync_); }

int SegmentLog::Append(std::string_view record) {
  LogSegment& head = segments_.back();
  const std::string frame = EncodeFrame(record, next_sequence_, manifest_.salt);
  const auto [written, error] = WriteAll(*head_file_, frame);
  const bool torn_frame_stays = error != 0 && written > 0 && head_file_->Truncate(head.bytes) != 0;
  // A torn frame may stay in the file. The next frame has the same sequence number, so that the replay does
  // not count a record as missing.
  if (error == 0 || torn_frame_stays) {
    disk_bytes_ -= DiskBlocks(head.bytes);
    head.bytes += written;
    disk_bytes_ += DiskBlocks(head.bytes);
  }
  if (error != 0) return error;
  last_written_segment_ = head.number;
  ++next_sequence_;
  return 0;
}

int SegmentLog::StartSegment() {
  const std::uint64_t number = segments_.empty() ? manifest_.newest + 1 : segments_.back().number + 1;
  auto opened = files_.Open(PathOf(SegmentName(number)), FileSystem::Mode::kCreate);
  if (!opened.ok()) return opened.error;
  const std::string header = EncodeSegmentHeader(
      {kJournalFormat, number, manifest_.epoch, next_sequence_, manifest_.salt, manifest_.node});
  // After an error the file stays in the folder. No manifest lists it, and the next call truncates it.
  if (const int error = WriteAll(*opened.value, header).error; error != 0) return error;
  if (sync_) {
    if (const int error = opened.value->Sync(); error != 0) return error;
  }
  Manifest next = manifest_;
  next.newest = number;
  if (segments_.empty()) next.oldest = number;
  next.written = clock_.CurrentTimestamp();
  if (const int error = WriteManifest(files_, folder_, next, sync_); error != 0) return error;
  manifest_ = std::move(next);
  AddSegment(number, header.size());
  head_file_ = std::move(opened.value);
  return 0;
}

bool SegmentLog::DropOldest() {
  const LogSegment& oldest = segments_.front();
  Manifest next = manifest_;
  next.oldest = segments_[1].number;
  const int error = WriteManifest(files_, folder_, next, sync_);
  // Without space for the next manifest the file is removed all the same, though the manifest still lists it:
  // the replay does not count a missing oldest segment as damage.
  if (error != 0 && error != ENOSPC) return false;
  const int remove_error = files_.Remove(PathOf(SegmentName(oldest.number)));
  if (remove_error != 0 && remove_error != ENOENT) return false;
  if (error == 0) manifest_ = std::move(next);
  disk_bytes_ -= DiskBlocks(oldest.bytes);
  segments_.pop_front();
  return true;
}

std::uint64_t SegmentLog::MoveState(std::uint64_t message_number, std::uint64_t previous_segment) {
  if (previous_segment != 0) {
    LogSegment& previous = FindSegment(previous_segment);
    previous.live_messages -= 1;
    previous.last_copy_sequence = last_sequence();
  }
  AddLiveMessage(last_written_segment_, message_number);
  return last_written_segment_;
}

void SegmentLog::AddLiveMessage(std::uint64_t segment, std::uint64_t message_number) {
  LogSegment& holder = FindSegment(segment);
  holder.live_messages += 1;
  holder.message_numbers.push_back(message_number);
}

void SegmentLog::RemoveLiveMessage(std::uint64_t segment) { FindSegment(segment).live_messages -= 1; }

std::optional<std::uint64_t> SegmentLog::FindLaterEpoch() const {
  if (segments_.empty() || !head_file_) return std::nullopt;
  const std::optional<Manifest> present = ReadManifestFile(files_, folder_).manifest;
  if (!present || present->epoch <= manifest_.epoch) return std::nullopt;
  return present->epoch;
}

bool SegmentLog::AdoptSuccessor(const Manifest& successor) {
  if (successor.epoch != manifest_.epoch + 1 || successor.oldest != manifest_.oldest ||
      successor.newest != manifest_.newest + 1 || successor.classes != manifest_.classes) {
    return false;
  }
  const auto opened = files_.Open(PathOf(SegmentName(successor.newest)), FileSystem::Mode::kRead);
  if (!opened.ok()) return false;
  const auto bytes = ReadAll(*opened.value, kMaxEmptySegmentBytes);
  if (!bytes.ok()) return false;
  const auto decoded = DecodeSegmentHeader(bytes.value);
  // The segment must not contain records: the first one would have the sequence number of this log's next
  // record.
  if (!decoded || decoded->size != bytes.value.size() || decoded->header.first_sequence != next_sequence_) {
    return false;
  }
  manifest_ = successor;
  manifest_.epoch += 1;
  AddSegment(successor.newest, bytes.value.size());
  return true;
}

LogSegment& SegmentLog::FindSegment(std::uint64_t number) {
  return *std::lower_bound(
      segments_.begin(), segments_.end(), number,
      [](const LogSegment& segment, std::uint64_t wanted) { return segment.number < wanted; });
}

void SegmentLog::AddSegment(std::uint64_t number, std::uint64_t bytes) {
  segments_.push_back({number, bytes, 0, {}, 0});
  disk_bytes_ += DiskBlocks(bytes);
}

}  // namespace sagetally
