// Compaction: copies the states of live messages from the oldest segment to the newest one, and drops the
// oldest segment once it contains no state of a live message. Segments are dropped strictly from the oldest
// on, so that the record of a message's end is never dropped before the state of the message. Owned by the
// journal; works in small steps between other work of the event loop, on its thread.
#ifndef SAGETALLY_SRC_JOURNAL_SEGMENT_COMPACTOR_H_
#define SAGETALLY_SRC_JOURNAL_SEGMENT_COMPACTOR_H_

#include <cstdint>

#include "journal/disk_space.h"
#include "journal/live_message_index.h"
#include "journal/segment_log.h"
#include "time/clock.h"

namespace sagetally {

// Counts of the journal's operations since its start.
struct JournalCounters {
  std::uint64_t bytes_appended = 0;  // records and the fields of their frames
  std::uint64_t bytes_copied = 0;    // the part of bytes_appended that are copies of states
  std::uint64_t segments_started = 0;
  std::uint64_t segments_dropped = 0;
  std::uint64_t syncs = 0;              // background syncs that were started
  std::uint64_t failures = 0;           // failed writes and syncs
  Duration longest_compaction_step{0};  // longest time that compaction took at once
};

class SegmentCompactor {
 public:
  // The changes that compaction makes to the journal. Both functions return false if the change is not
  // possible at present.
  class Actions {
   public:
    virtual ~Actions() = default;
    // Appends the state of the message and adds its size to JournalCounters::bytes_copied.
    virtual bool CopyState(std::uint64_t message_number, LiveMessage& entry) = 0;
    // Drops the oldest segment, which has no live messages.
    virtual bool DropOldestSegment() = 0;
  };
  // Keeps references to all arguments, which must outlive it.
  SegmentCompactor(SegmentLog& segment_log, LiveMessageIndex& index, const DiskSpace& disk_space,
                   const Clock& clock, JournalCounters& counters, Actions& actions);

  // Returns when RunStep is due, or Time::max() if there is nothing to do.
  Time due() const { return due_; }
  // Runs one step of compaction. Returns whether it changed anything.
  bool RunStep();
  // Sets the due time of the next step if there is work for one.
  void ScheduleNextStep(Time now);
  // Called after `bytes` bytes were appended. Compacts at once if three quarters of the space for records are
  // used up. Returns true if it set a new due time.
  bool OnAppended(std::uint64_t bytes);
  // Makes space for a record of this size, its frame included, that is not a copy. Returns false if there is
  // not enough space.
  bool MakeSpace(std::uint64_t frame_bytes);

 private:
  // Returns whether states should be copied: more than half of the space for records is used up, or there are
  // too many segments.
  bool IsCopyingNeeded() const;
  // Returns whether states should be copied or the oldest segment can be dropped.
  bool HasWork() const;
  // Copies states of about `max_bytes` and drops the oldest segments as long as they have no live messages.
  // Returns whether it changed anything. Does nothing if compaction is running already.
  bool Compact(std::uint64_t max_bytes);
  bool CompactOldest(std::uint64_t max_bytes);

  SegmentLog& segment_log_;
  LiveMessageIndex& index_;
  const DiskSpace& disk_space_;
  const Clock& clock_;
  JournalCounters& counters_;
  Actions& actions_;
  Time due_ = Time::max();
  bool is_running_ = false;  // guards against recursion: copying a state appends a record
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_COMPACTOR_H_
