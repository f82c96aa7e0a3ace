#include "journal/segment_compactor.h"

#include <algorithm>

namespace sagetally {
namespace {

constexpr std::uint64_t kCopiedBytesPerStep = 48 * 1024;
// When the space is nearly used up, each appended byte makes compaction copy this many bytes at once.
constexpr std::uint64_t kCopiedBytesPerAppendedByte = 4;
// With more segments than this, states are copied although there is enough space.
constexpr std::size_t kMaxSegmentsBeforeCopying = 48;
constexpr Duration kStepInterval = std::chrono::milliseconds(3);

}  // namespace

SegmentCompactor::SegmentCompactor(SegmentLog& segment_log, LiveMessageIndex& index,
                                   const DiskSpace& disk_space, const Clock& clock, JournalCounters& counters,
                                   Actions& actions)
    : segment_log_(segment_log),
      index_(index),
      disk_space_(disk_space),
      clock_(clock),
      counters_(counters),
      actions_(actions) {}

bool SegmentCompactor::RunStep() {
  due_ = Time::max();
  return Compact(kCopiedBytesPerStep);
}

void SegmentCompactor::ScheduleNextStep(Time now) {
  if (segment_log_.segments().size() > 1 && HasWork()) due_ = now + kStepInterval;
}

bool SegmentCompactor::OnAppended(std::uint64_t bytes) {
  if (segment_log_.segments().size() < 2) return false;
  if (segment_log_.disk_bytes() > disk_space_.record_limit() / 4 * 3) {
    Compact(bytes * kCopiedBytesPerAppendedByte);
  }
  if (due_ != Time::max() || !HasWork()) return false;
  due_ = clock_.Now() + kStepInterval;
  return true;
}

bool SegmentCompactor::MakeSpace(std::uint64_t frame_bytes) {
  // Stops once as many bytes were copied as all segments have: further copies would only repeat the same
  // bytes.
  const std::uint64_t max_copied = counters_.bytes_copied + segment_log_.disk_bytes();
  while (!disk_space_.FitsRecord(frame_bytes)) {
    if (counters_.bytes_copied > max_copied || !Compact(kCopiedBytesPerStep)) {
      return disk_space_.FitsRecord(frame_bytes);
    }
  }
  return true;
}

bool SegmentCompactor::IsCopyingNeeded() const {
  return segment_log_.disk_bytes() > disk_space_.record_limit() / 2 ||
         segment_log_.segments().size() > kMaxSegmentsBeforeCopying;
}

bool SegmentCompactor::HasWork() const {
  return IsCopyingNeeded() || segment_log_.segments().front().live_messages == 0;
}

bool SegmentCompactor::Compact(std::uint64_t max_bytes) {
  if (is_running_) return false;
  is_running_ = true;
  const Time started_at = clock_.Now();
  const bool has_changed = CompactOldest(max_bytes);
  is_running_ = false;
  counters_.longest_compaction_step = std::max(counters_.longest_compaction_step, clock_.Now() - started_at);
  return has_changed;
}

bool SegmentCompactor::CompactOldest(std::uint64_t max_bytes) {
  std::uint64_t bytes_left = max_bytes;
  bool has_changed = false;
  while (segment_log_.segments().size() > 1) {
    LogSegment& oldest = segment_log_.oldest();
    if (oldest.live_messages == 0) {
      if (!actions_.DropOldestSegment()) break;
      has_changed = true;
      continue;
    }
    if (bytes_left == 0 || !IsCopyingNeeded()) break;
    const std::uint64_t number = oldest.message_numbers.back();
    LiveMessage* const entry = index_.Find(number);
    if (entry == nullptr || entry->segment != oldest.number) {  // the message ended or its state was copied
      oldest.message_numbers.pop_back();
      continue;
    }
    const std::uint64_t copied_before = counters_.bytes_copied;
    if (!actions_.CopyState(number, *entry)) break;
    bytes_left -= std::min(bytes_left, counters_.bytes_copied - copied_before);
    has_changed = true;
  }
  return has_changed;
}

}  // namespace sagetally
