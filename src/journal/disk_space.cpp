#include "journal/disk_space.h"

#include <algorithm>

namespace sagetally {
namespace {

// Blocks for the small files: the manifest, the next manifest while it is written, and the lock file.
constexpr std::uint64_t kSmallFileBlocks = 4;
// Further blocks that ordinary records leave free.
constexpr std::uint64_t kSpareBlocks = 4;
// Segments whose space is left for the copies that compaction makes.
constexpr std::uint64_t kSegmentsForCopies = 2;
// Upper bounds of the space for live messages, in percent of the disk budget without and with a disk reserve,
// and in percent of record_limit().
constexpr std::uint64_t kLivePercentOfBudget = 45;
constexpr std::uint64_t kLivePercentOfBudgetWithReserve = 30;
constexpr std::uint64_t kLivePercentOfRecordLimit = 60;

// Returns the most by which appending a frame may increase the disk space of a file.
std::uint64_t MaxGrowth(std::uint64_t frame_bytes) { return DiskBlocks(frame_bytes) + kDiskBlockBytes; }

std::uint64_t SubtractOrZero(std::uint64_t minuend, std::uint64_t subtrahend) {
  return minuend > subtrahend ? minuend - subtrahend : 0;
}

}  // namespace

DiskSpace::DiskSpace(const JournalSettings& settings, const SegmentLog& segment_log,
                     const DiskReserve& reserve)
    : budget_(settings.disk_budget),
      segment_bytes_(settings.EffectiveSegmentBytes()),
      segment_log_(segment_log),
      reserve_(reserve),
      other_bytes_(kSmallFileBlocks * kDiskBlockBytes) {}

std::uint64_t DiskSpace::used() const {
  return segment_log_.disk_bytes() + other_bytes_ + id_log_bytes_ + DiskBlocks(reserve_.bytes());
}

std::uint64_t DiskSpace::record_limit() const {
  const std::uint64_t unavailable = other_bytes_ + id_log_bytes_ + DiskBlocks(reserve_.bytes()) +
                                    kSegmentsForCopies * segment_bytes_ + kSpareBlocks * kDiskBlockBytes;
  return SubtractOrZero(budget_, unavailable);
}

std::uint64_t DiskSpace::live_limit() const {
  const std::uint64_t percent =
      reserve_.is_enabled() ? kLivePercentOfBudgetWithReserve : kLivePercentOfBudget;
  return std::min(budget_ / 100 * percent, record_limit() / 100 * kLivePercentOfRecordLimit);
}

std::uint64_t DiskSpace::reserve_limit() const {
  return SubtractOrZero(budget_, segment_log_.disk_bytes() + other_bytes_ + id_log_bytes_);
}

bool DiskSpace::FitsRecord(std::uint64_t frame_bytes) const {
  return segment_log_.disk_bytes() + MaxGrowth(frame_bytes) <= record_limit();
}

bool DiskSpace::FitsCopy(std::uint64_t frame_bytes) const {
  return used() + MaxGrowth(frame_bytes) <= budget_;
}

}  // namespace sagetally
