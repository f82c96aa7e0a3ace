// Divides the disk budget between new messages, the records of accepted ones, and compaction. Owned by the
// journal and asked before each write. Used on the thread of the event loop only. All sizes are in bytes.
#ifndef SAGETALLY_SRC_JOURNAL_DISK_SPACE_H_
#define SAGETALLY_SRC_JOURNAL_DISK_SPACE_H_

#include <cstdint>

#include "journal/disk_reserve.h"
#include "journal/journal_settings.h"
#include "journal/segment_log.h"

namespace sagetally {

// Computes limits from the budget and the present size of the journal's files. Does no I/O.
class DiskSpace {
 public:
  // Keeps references to `segment_log` and `reserve`, which must outlive it.
  DiskSpace(const JournalSettings& settings, const SegmentLog& segment_log, const DiskReserve& reserve);

  // Adds the disk space of files that are neither segments nor the reserve. `disk_bytes` must be a whole
  // number of blocks.
  void AddOtherFiles(std::uint64_t disk_bytes) { other_bytes_ += disk_bytes; }
  // Sets the disk space of the files with remembered ids, a whole number of blocks.
  void SetIdLogBytes(std::uint64_t disk_bytes) { id_log_bytes_ = disk_bytes; }
  // Returns the disk space of all files of the journal, as the budget counts it.
  std::uint64_t used() const;
  // Returns the most disk space that the segments may take while ordinary records are appended. Copies of
  // states may take the space of two segments more, so that compaction can always finish.
  std::uint64_t record_limit() const;
  // Returns the most disk space that all live messages may need together. With more, compaction would copy
  // the same bytes over and over.
  std::uint64_t live_limit() const;
  // Returns the size up to which the disk reserve may grow.
  std::uint64_t reserve_limit() const;
  // Returns whether an ordinary record of this size, its frame included, fits within record_limit().
  bool FitsRecord(std::uint64_t frame_bytes) const;
  // Returns whether a copy of a state of this size, its frame included, fits within the disk budget.
  bool FitsCopy(std::uint64_t frame_bytes) const;

 private:
  const std::uint64_t budget_;
  const std::uint64_t segment_bytes_;
  const SegmentLog& segment_log_;
  const DiskReserve& reserve_;
  std::uint64_t id_log_bytes_ = 0;
  std::uint64_t other_bytes_;  // disk space of files that are neither segments nor the reserve
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_DISK_SPACE_H_
