// Compaction: copies the states of live messages from the oldest segment to the newest, and drops the oldest
// once nothing in it is live. Always the oldest one, so that a record of an end is never dropped before the
// state that it ends. Works in small steps between other work of the event loop.
#ifndef SAGETALLY_SRC_JOURNAL_SEGMENT_COMPACTOR_H_
#define SAGETALLY_SRC_JOURNAL_SEGMENT_COMPACTOR_H_

#include <cstdint>

#include "journal/disk_space.h"
#include "journal/live_message_index.h"
#include "journal/segment_log.h"
#include "time/clock.h"

namespace sagetally {

struct JournalCounters {
  std::uint64_t bytes_appended = 0;  // frames included
  std::uint64_t bytes_copied = 0;    // of these, by compaction
  std::uint64_t segments_started = 0;
  std::uint64_t segments_dropped = 0;
  std::uint64_t syncs = 0;
  std::uint64_t failures = 0;
  Duration longest_step{0};  // of compaction
};

class SegmentCompactor {
 public:
  // What compaction does to the journal; both return false if it can't be done now.
  class Actions {
   public:
    virtual ~Actions() = default;
    // Appends the message's state and counts it in JournalCounters::bytes_copied.
    virtual bool CopyState(std::uint64_t message_number, LiveMessage& entry) = 0;
    virtual bool DropOldestSegment() = 0;
  };
  // Keeps references to all arguments.
  SegmentCompactor(SegmentLog& segment_log, LiveMessageIndex& index, const DiskSpace& disk_space,
                   const Clock& clock, JournalCounters& counters, Actions& actions);

  // When RunStep is due; Time::max() if there is nothing to do.
  Time due() const { return due_; }
  // Returns false if nothing could be done.
  bool RunStep();
  // Sets the due time of the next step if there is work for one.
  void ScheduleNextStep(Time now);
  // `bytes` were appended. Compacts at once if the disk budget is nearly used up. Returns true if it set a
  // new due time.
  bool OnAppended(std::uint64_t bytes);
  // Makes space for a record that is not a copy. Returns false if there is none.
  bool MakeSpace(std::uint64_t frame_bytes);

 private:
  bool IsWanted() const;
  bool HasWork() const;
  // Copies about `max_bytes` and drops segments without live messages. Returns false if nothing could be
  // done.
  bool Compact(std::uint64_t max_bytes);
  bool CompactOldest(std::uint64_t max_bytes);

  SegmentLog& segment_log_;
  LiveMessageIndex& index_;
  const DiskSpace& disk_space_;
  const Clock& clock_;
  JournalCounters& counters_;
  Actions& actions_;
  Time due_ = Time::max();
  bool is_running_ = false;  // copies are appended, too
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_COMPACTOR_H_
