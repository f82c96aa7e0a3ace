// Divides the disk budget between new messages, the records of accepted ones, and compaction.
#ifndef SAGETALLY_SRC_JOURNAL_DISK_SPACE_H_
#define SAGETALLY_SRC_JOURNAL_DISK_SPACE_H_

#include <cstdint>

#include "journal/disk_reserve.h"
#include "journal/journal_settings.h"
#include "journal/segment_log.h"

namespace sagetally {

class DiskSpace {
 public:
  // Keeps references to `segment_log` and `reserve`.
  DiskSpace(const JournalSettings& settings, const SegmentLog& segment_log, const DiskReserve& reserve);

  // Counts files that are neither segments nor the reserve. `disk_bytes`: whole blocks.
  void AddOtherFiles(std::uint64_t disk_bytes) { other_bytes_ += disk_bytes; }
  // Disk space of all the journal's files, as the budget counts it.
  std::uint64_t used() const;
  // How much segments may take with ordinary records. Copies may take the space of two segments more, so that
  // compaction can always end.
  std::uint64_t record_limit() const;
  // How much all live messages may take together. Above this, compaction would copy the same bytes over and
  // over.
  std::uint64_t live_limit() const;
  // How large the reserve may become.
  std::uint64_t reserve_limit() const;
  bool FitsRecord(std::uint64_t frame_bytes) const;
  bool FitsCopy(std::uint64_t frame_bytes) const;

 private:
  const std::uint64_t budget_;
  const std::uint64_t segment_bytes_;
  const SegmentLog& segment_log_;
  const DiskReserve& reserve_;
  std::uint64_t other_bytes_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_DISK_SPACE_H_
