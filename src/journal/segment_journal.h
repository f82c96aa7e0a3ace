// The journal: records in segments, which a manifest lists and which are compacted in small steps while
// messages are processed. A message is accepted only if the disk budget has space for its further records,
// that is its attempts, outcomes and completion; it is rejected otherwise. docs/design/journal.md explains
// the design. Owned by the service in src/app and used on the thread of the event loop only.
#ifndef SAGETALLY_SRC_JOURNAL_SEGMENT_JOURNAL_H_
#define SAGETALLY_SRC_JOURNAL_SEGMENT_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/message_table.h"
#include "core/ports.h"
#include "journal/disk_reserve.h"
#include "journal/disk_space.h"
#include "journal/file_system/file_system.h"
#include "journal/format1_reader.h"
#include "journal/group_commit.h"
#include "journal/id_log.h"
#include "journal/journal_settings.h"
#include "journal/live_message_index.h"
#include "journal/replay.h"
#include "journal/segment_compactor.h"
#include "journal/segment_log.h"
#include "logging/logger.h"
#include "time/clock.h"

namespace sagetally {

// What the journal requires from its owner: timers, a thread for syncs, and reactions to its changes. All
// functions are called on the thread of the event loop.
class JournalHost {
 public:
  virtual ~JournalHost() = default;
  // Sets the timer that calls SegmentJournal::RunDueWork after `delay`. There is only one such timer; a new
  // call replaces the previous one.
  virtual void ScheduleWork(Duration delay) = 0;
  // Called when messages that were not durable may have become durable. The call comes from within a function
  // of the journal, so the host must not ask the journal before that function has returned.
  virtual void OnDurabilityProgress() = 0;
  // Syncs the file on another thread, and later calls `on_done` with an errno value on the thread of the
  // event loop.
  virtual void SyncInBackground(std::shared_ptr<File> file, std::function<void(int error)> on_done) = 0;
  // Called by the constructor when the whole journal has been read and nothing has been written yet. May
  // throw. The journal then stays with the process that was handing it over.
  virtual void BeforeFirstWrite() {}
  // Called when another process has taken over the journal. This process must end and must not send anything
  // any more.
  virtual void OnFenced() = 0;
};

class SegmentJournal : public Journal, private SegmentCompactor::Actions {
 public:
  using Counters = JournalCounters;

  // Reads the journal in settings.folder into `messages` and begins a new epoch. Keeps references to all
  // arguments except `settings`, and sets messages.on_message_removed. Throws JournalError if another process
  // has locked the journal, if the folder is read-only, if the journal has a newer format, or if there is no
  // space for a new segment.
  SegmentJournal(FileSystem& files, JournalSettings settings, MessageTable& messages, const Clock& clock,
                 Logger& log, JournalHost& host);
  ~SegmentJournal() override;
  SegmentJournal(const SegmentJournal&) = delete;
  SegmentJournal& operator=(const SegmentJournal&) = delete;

  std::uint64_t MissingSpace(std::span<const Message* const> messages) const override;
  std::uint64_t SpaceOf(const Message& message) const override;
  bool AppendAccepted(std::span<const Message* const> messages) override;
  void AppendAttempt(const Message& message) override;
  void AppendOutcome(const Message& message, Outcome outcome) override;
  void AppendCompletion(const Message& message) override;
  void AppendNotified(const Message& message) override;
  void AppendDeadLettered(const Message& message) override;
  void SaveRememberedIds() override;
  bool IsDurable(const Message& message) const override;

  // Stops all writing, because another process continues with the journal.
  void Retire() { is_fenced_ = true; }
  // Continues with the journal after the process that was taking it over has died. Returns true if the
  // journal can be used as before. If the other process had begun an epoch, this process has begun the one
  // after it. Returns false if the other process did more than begin its epoch, or if there is no space for a
  // new epoch.
  bool Reclaim();
  // Returns the descriptor that holds the lock of the journal. Another process to which it is passed holds
  // the lock, too.
  int lock_descriptor() const { return lock_->descriptor(); }
  // Returns whether there are records that could not be written and are to be retried.
  bool has_unwritten_records() const { return index_.has_unwritten_records(); }

  // Does the work that is due: compaction, group commit and retries after an error. To be called at the time
  // requested by JournalHost::ScheduleWork.
  void RunDueWork();

  const Counters& counters() const { return counters_; }
  // The report of the replay at the start.
  const ReplayReport& report() const { return report_; }
  // Returns whether the journal contained no records at the start.
  bool is_new() const { return is_new_; }
  // A summary of what was read at the start, for the log.
  const std::string& replay_summary() const { return replay_summary_; }
  // Disk space of all files in bytes, as the budget counts it.
  std::uint64_t disk_bytes() const { return disk_space_.used(); }
  // Upper bound, in bytes, of the states and further records of all live messages.
  std::uint64_t live_bytes() const { return index_.live_bytes(); }
  // Number of segments.
  std::uint64_t segments() const { return segment_log_.segments().size(); }
  std::uint64_t epoch() const { return segment_log_.manifest().epoch; }
  // Returns whether new messages are rejected until there is space on the disk.
  bool is_full() const { return is_full_; }
  // Returns false while records of accepted messages can't be written, or if this process must not write any
  // more.
  bool is_writable() const { return !is_unwritable_ && !is_broken_ && !is_fenced_; }

 private:
  // How a record is written.
  struct WriteMode {
    bool is_required = false;  // may use up the disk reserve; a failure makes the journal unwritable
    bool is_copy = false;      // may take the disk space that is left for compaction
  };
  // When to retry writing records that could not be written.
  struct RetryTimer {
    Time due = Time::max();
    Duration delay{0};
  };

  // Start.
  void Recover();
  // Begins a new epoch with a new segment and writes what the recovery changed.
  void BeginEpoch();
  // Reads a log of format 1 if there is one and no journal yet.
  Format1Report MigrateFormat1();
  void InitializeManifest();
  // Begins the epoch's first segment and releases the disk reserve if there is no other space for it.
  void StartFirstSegment();
  // Writes the states that the recovery changed. After damage or from a log of format 1 it writes all states,
  // so that the old files can be removed.
  void RewriteRecoveredMessages(const Format1Report& format1);
  // Clears Manifest::unknown_from and Manifest::migrating once the rewritten states are written.
  void FinishRecovery();
  // Drops the oldest segments as long as they have no live messages, but not the newest one.
  void DropSegmentsWithoutLiveMessages();

  // Appending.
  // Appends a record that must not be lost. `encode_record` is called with the ordinal of the record.
  void AppendEvent(const Message& message,
                   const std::function<std::string(std::uint32_t ordinal)>& encode_record);
  // Appends the state of a message and updates its index entry. Returns whether the state was written.
  bool WriteState(const Message& message, LiveMessage& entry, WriteMode mode);
  // Appends a record, if need be to a new segment or with space from the disk reserve. Returns whether the
  // record was written.
  bool Write(std::string_view record, WriteMode mode);
  // Appends a record to the newest segment if the disk budget has space for it. Returns an errno value.
  int AppendRecord(std::string_view record, WriteMode mode);
  // Counts a failed write and updates is_full_ and is_unwritable_. Schedules a retry if there was no space or
  // the record was required. `error` is an errno value.
  void OnWriteError(int error, bool is_required);
  // Releases `size` bytes of the disk reserve. No new messages are accepted until the reserve is complete
  // again.
  bool ReleaseReserve(std::uint64_t size);
  bool GrowReserve(std::uint64_t bytes) { return reserve_.Grow(bytes, disk_space_.reserve_limit()); }
  // Called by the message table before it removes a message.
  void OnMessageRemoved(const Message& message);
  // Called by the message table when a message needs less space than before.
  void OnMessageReleased(const Message& message);
  bool CopyState(std::uint64_t message_number, LiveMessage& entry) override;
  bool DropOldestSegment() override;

  // Begins a new segment. With `sync_previous`, the present segment is synced first. Returns an errno value.
  int StartSegment(bool sync_previous = true);
  // Returns whether another process has taken over the journal, and notifies the host when it finds out.
  bool CheckFence();

  // Syncing.
  void RequestSync();
  // Requests a sync if the class of `message` demands it.
  void RequestSyncFor(const Message& message);
  // Starts the background sync that is due.
  void StartSync();
  // Called when the background sync of the records up to `sequence` has ended with `error`, an errno value.
  void OnSyncCompleted(std::uint64_t sequence, int error);
  void RecoverFromFailedSync(int error);
  // Begins a new segment and writes to it everything that was not synced. Returns whether all was written.
  bool RewriteUnsynced();

  // Retries.
  // Tries to write all unwritten records and to fill the disk reserve, and schedules the next retry if that
  // fails.
  void RetryUnwritten();
  // Writes the states of messages with unwritten records, and the removals of messages that were removed
  // since. Returns whether all was written.
  bool WriteUnwrittenRecords();
  // Sets the host's timer to the earliest time at which work is due.
  void ScheduleWork();

  FileSystem& files_;
  const JournalSettings settings_;
  const std::uint64_t segment_bytes_;
  MessageTable& messages_;
  const Clock& clock_;
  Logger& log_;
  JournalHost& host_;
  std::unique_ptr<FileLock> lock_;
  SegmentLog segment_log_;
  LiveMessageIndex index_;
  IdLog id_log_;
  DiskReserve reserve_;
  DiskSpace disk_space_;
  Counters counters_;
  SegmentCompactor compactor_;
  GroupCommit group_commit_;
  RetryTimer retry_;
  ReplayReport report_;
  std::string replay_summary_;
  bool is_new_ = false;
  bool has_id_log_error_ = false;  // the last ids could not be saved
  bool is_full_ = false;           // new messages are rejected until there is space
  bool is_unwritable_ = false;     // a required record could not be written and has yet to be retried
  bool is_retrying_ = false;  // RetryUnwritten is running, so that Write works though is_unwritable_ is set
  bool is_broken_ = false;    // after a failed sync, its records could not be written to another file
  bool is_fenced_ = false;    // another process has taken over the journal
  // Set to false by the destructor. A background sync may complete after that and must not use the journal.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_JOURNAL_H_
