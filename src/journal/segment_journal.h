// The journal: segments of records under a manifest, compacted in small steps while messages are handled.
// Space for the attempts, outcomes and completion of an accepted message is always left; a message that would
// not fit is rejected. docs/design/journal.md has the reasons. Used from the event loop's thread only.
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
#include "journal/journal_settings.h"
#include "journal/live_message_index.h"
#include "journal/replay.h"
#include "journal/segment_compactor.h"
#include "journal/segment_log.h"
#include "logging/logger.h"
#include "time/clock.h"

namespace sagetally {

// What the journal needs of the event loop.
class JournalHost {
 public:
  virtual ~JournalHost() = default;
  // Calls RunDueWork after `delay`. There is one such timer: a new call replaces the last.
  virtual void ScheduleTurn(Duration delay) = 0;
  // Messages that were not durable may be so now. Called from within a call of the journal, so the host must
  // look later.
  virtual void OnProgress() = 0;
  // Syncs the file on another thread and calls `done` on the loop's thread, later.
  virtual void SyncInBackground(std::shared_ptr<File> file, std::function<void(int error)> done) = 0;
  // All has been read and nothing written. May throw: the journal then stays with the process that passed it
  // on.
  virtual void BeforeFirstWrite() {}
  // A newer process has the journal: this one must end, and send nothing more.
  virtual void OnFenced() = 0;
};

class SegmentJournal : public Journal, private SegmentCompactor::Actions {
 public:
  using Counters = JournalCounters;

  // Reads what the folder holds into `messages` and begins a new epoch. Keeps references to all arguments but
  // `settings`, and sets messages.on_message_removed. Throws JournalError: locked by another process,
  // read-only, of a newer format, no space to begin.
  SegmentJournal(FileSystem& files, JournalSettings settings, MessageTable& messages, const Clock& clock,
                 Logger& log, JournalHost& host);
  ~SegmentJournal() override;
  SegmentJournal(const SegmentJournal&) = delete;
  SegmentJournal& operator=(const SegmentJournal&) = delete;

  bool AppendAccepted(std::span<const Message* const> messages) override;
  void AppendAttempt(const Message& message) override;
  void AppendOutcome(const Message& message, Outcome outcome) override;
  void AppendCompletion(const Message& message) override;
  void AppendNotified(const Message& message) override;
  void AppendDeadLettered(const Message& message) override;
  bool IsDurable(const Message& message) const override;

  // Another process continues with the journal: this one writes nothing any more.
  void Retire() { is_fenced_ = true; }
  // The process that was to continue with it has died. Returns true if all is as it was, in an epoch above
  // any that it began; false if it did more than to begin its epoch, or there is no space for another one.
  bool Reclaim();
  // By which another process may hold the lock.
  int lock_descriptor() const { return lock_->descriptor(); }
  // Whether records could not be written, and wait.
  bool has_unwritten_records() const { return index_.has_unwritten_records(); }

  // Does what is due: compaction, group commit, retries after an error. Called when JournalHost::ScheduleTurn
  // says.
  void RunDueWork();

  const Counters& counters() const { return counters_; }
  // Of the replay at start.
  const ReplayReport& report() const { return report_; }
  // Whether nothing was on record at start.
  bool is_new() const { return is_new_; }
  // What the start read, for the log.
  const std::string& replay_note() const { return replay_note_; }
  // Disk space of all files, as the budget counts it.
  std::uint64_t disk_bytes() const { return disk_space_.used(); }
  std::uint64_t live_bytes() const { return index_.live_bytes(); }
  std::uint64_t segments() const { return segment_log_.segments().size(); }
  std::uint64_t epoch() const { return segment_log_.manifest().epoch; }
  // Whether new messages are rejected until there is space on the disk.
  bool is_full() const { return is_full_; }
  bool is_writable() const { return !is_unwritable_ && !is_broken_ && !is_fenced_; }

 private:
  // How a record is written.
  struct WriteMode {
    bool is_required = false;  // uses up the reserve; a failure makes the journal unwritable
    bool is_copy = false;      // may take the space that is left for compaction
  };
  // When to retry what could not be written.
  struct RetryTimer {
    Time due = Time::max();
    Duration delay{0};
  };

  // Opening.
  void Recover();
  void BeginEpoch();
  Format1Report MigrateFormat1();
  void InitializeManifest();
  void StartFirstSegment();
  void RewriteRecoveredMessages(const Format1Report& format1);
  void FinishRecovery();
  void DropDamagedSegments();

  // Appending.
  void AppendEvent(const Message& message,
                   const std::function<std::string(std::uint32_t ordinal)>& encode_record);
  bool WriteState(const Message& message, LiveMessage& entry, WriteMode mode);
  bool Write(std::string_view record, WriteMode mode);
  int AppendRecord(std::string_view record, WriteMode mode);
  void OnWriteError(int error, bool is_required);
  bool ReleaseReserve(std::uint64_t size);
  bool GrowReserve(std::uint64_t bytes) { return reserve_.Grow(bytes, disk_space_.reserve_limit()); }
  void OnMessageRemoved(const Message& message);
  bool CopyState(std::uint64_t message_number, LiveMessage& entry) override;
  bool DropOldestSegment() override;

  // Begins a new segment. `sync_previous`: the last one is synced first. Gives an errno number.
  int StartSegment(bool sync_previous = true);
  bool CheckFence();

  // Syncing.
  void RequestSync();
  void RequestSyncFor(const Message& message);
  void StartSync();
  void OnSyncCompleted(std::uint64_t sequence, int error);
  void RecoverFromFailedSync(int error);
  bool RewriteUnsynced();

  // Retries.
  void RetryUnwritten();
  bool WriteUnwrittenRecords();
  void ScheduleTurn();

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
  DiskReserve reserve_;
  DiskSpace disk_space_;
  Counters counters_;
  SegmentCompactor compactor_;
  GroupCommit group_commit_;
  RetryTimer retry_;
  ReplayReport report_;
  std::string replay_note_;
  bool is_new_ = false;
  bool is_full_ = false;        // no new messages until there is space
  bool is_unwritable_ = false;  // a required record could not be written
  bool is_retrying_ = false;
  bool is_broken_ = false;  // what was not synced could not be written to another file
  bool is_fenced_ = false;  // another process has the journal
  // False once the journal is gone; a sync may complete after that.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_JOURNAL_H_
