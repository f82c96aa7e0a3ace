// The journal: segments of records under a manifest, compacted in small steps while traffic flows. What was
// taken on always finds room for its attempts, outcomes and end; what would not is refused.
// docs/design/journal.md.
#ifndef SAGETALLY_SRC_JOURNAL_SEGMENT_JOURNAL_H_
#define SAGETALLY_SRC_JOURNAL_SEGMENT_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/message_table.h"
#include "core/ports.h"
#include "journal/file_system/file_system.h"
#include "journal/manifest.h"
#include "journal/replay.h"
#include "logging/logger.h"
#include "time/clock.h"

namespace sagetally {

enum class Durability {
  kWritten,  // outlasts the process
  kSynced    // outlasts the machine's power: answers, calls and notices wait for it
};

struct JournalSettings {
  std::string folder;        // the journal's own; made if it isn't there
  std::string format1_path;  // a log of format 1 to take over; need not exist
  std::string node_name;
  std::uint64_t disk_budget = 3'000'000;       // bytes of all its files, each counted in whole 512 bytes
  std::uint64_t segment_bytes = 0;             // 0: a twenty-fourth of the budget, from 32 KiB to 8 MiB
  std::vector<std::string> class_names;        // names, by number
  std::map<int, Durability> class_durability;  // of classes that differ
  Durability default_durability = Durability::kWritten;
  Duration group_commit_delay =
      std::chrono::milliseconds(2);  // longest that a group commit waits for company
  bool reserve_disk_space = false;   // holds blocks of the disk for the records to come
  std::uint64_t seed = 1;
};

class JournalHost {  // the loop that the journal runs in
 public:
  virtual ~JournalHost() = default;
  virtual void ScheduleTurn(Duration d) = 0;  // call Turn; one at a time, a new one replaces the last
  virtual void OnProgress() = 0;  // what was not Safe may be so now; not from within a call of the journal
  // Syncs the file away from the loop and calls back on it, later.
  virtual void SyncInBackground(std::shared_ptr<File> file, std::function<void(int error)> done) = 0;
  // All has been read and nothing written. May throw: the journal is given back to whom it was taken from.
  virtual void BeforeFirstWrite() {}
  virtual void OnFenced() = 0;  // a newer process has the journal: this one must end, saying nothing more
};

class SegmentJournal : public Journal {
 public:
  // Reads what the folder holds into `ledger`, which tells it of messages that go. Throws std::runtime_error
  // naming folder or file: held by another process, read-only, of a newer format, no room to begin.
  SegmentJournal(FileSystem& files, JournalSettings settings, MessageTable& ledger, const Clock& clock,
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

  // Another process goes on with it: nothing is written any more.
  void Retire() { fenced_ = true; }
  // One that was to go on with it has died. True: all is as it was, in an epoch above any that it began.
  // False: it wrote more than the beginning of an epoch, or there is no room for another.
  bool Reclaim();
  int lock_descriptor() const { return lock_->descriptor(); }
  bool has_unwritten_records() const {
    return !dirty_.empty() || !tombstones_.empty();
  }  // records could not be written

  void RunDueWork();  // steps that are due: compaction, group commit, trying again after an error

  struct Counters {
    std::uint64_t bytes_appended = 0, bytes_copied = 0;  // bytes, frames included
    std::uint64_t segments_started = 0, segments_dropped = 0, syncs = 0, failures = 0;
    Duration longest_step{0};  // of compaction
  };
  const Counters& counters() const { return counters_; }
  const ReplayReport& report() const { return report_; }
  bool is_new() const { return fresh_; }                    // nothing was on record
  const std::string& replay_note() const { return note_; }  // of the reading, for the log
  std::uint64_t disk_bytes() const;                         // as the budget counts them
  std::uint64_t live_bytes() const { return live_bytes_; }
  std::uint64_t segments() const { return segments_.size(); }
  std::uint64_t epoch() const { return manifest_.epoch; }
  bool is_full() const { return full_; }
  bool is_writable() const { return !unwritable_ && !broken_ && !fenced_; }

 private:
  struct Segment {
    std::uint64_t number = 0, bytes = 0, live = 0;
    std::vector<std::uint64_t> based;  // messages whose state was written here, some since copied forward
    std::uint64_t copied_until = 0;    // sequence number of the last copy made of them
  };
  struct Info {                 // of one live message
    std::uint64_t segment = 0;  // that holds its state
    std::uint64_t last = 0;     // sequence number of its latest record
    std::uint32_t ordinal = 0;
    std::uint32_t live = 0, to_come = 0;  // bytes
    bool dirty = false;                   // its latest records could not be written
  };
  struct Gone {
    std::uint64_t number = 0;
    std::uint32_t ordinal = 0;
    std::uint64_t sequence = 0;
  };

  void Read();
  void Begin();
  void TakeOverClasses();
  void Quarantine(const std::vector<std::pair<std::string, std::string>>& pieces);

  void Record(const Message& message, const std::function<std::string(std::uint32_t ordinal)>& record);
  bool Write(std::string_view record, bool must, bool copy = false);
  int AppendFrame(std::string_view record);
  bool Failed(int error, bool must);
  bool WriteState(const Message& message, Info& info, bool copy);
  void Base(std::uint64_t number, Info& info);
  void Count(const Message& message, Info& info);
  void Uncount(const Info& info);
  void Removed(const Message& message);

  int Roll(bool trust_head = true);
  bool Drop();
  bool CompactSome(std::uint64_t most);
  void CompactAfter(std::uint64_t appended);
  bool Wanted() const;
  bool MakeRoom(std::uint64_t size, bool copy);
  bool CheckFence();
  bool GoAbove(const Manifest& there);

  bool GrowReserve(std::uint64_t need);
  bool ReleaseReserve(std::uint64_t size);
  void ShrinkReserve();

  bool AnySynced() const;
  Durability DurabilityOf(const Message& message) const;
  void WantSync();
  void StartSync();
  void Synced(std::uint64_t until, int error);
  void SyncFailed(int error);

  void TryAgain();
  void Schedule();
  std::string Path(std::string_view name) const { return settings_.folder + "/" + std::string(name); }
  std::uint64_t SoftLimit() const;

  FileSystem& files_;
  const JournalSettings settings_;
  const std::uint64_t segment_bytes_;
  MessageTable& messages_;
  const Clock& clock_;
  Logger& log_;
  JournalHost& host_;
  std::unique_ptr<FileLock> lock_;
  Manifest manifest_;
  ReplayReport report_;
  std::deque<Segment> segments_;  // oldest first; the last one is written to
  std::shared_ptr<File> head_;
  std::unordered_map<std::uint64_t, Info> infos_;
  std::set<std::uint64_t> dirty_;
  std::map<std::uint64_t, std::uint32_t> tombstones_;  // gone while dirty: number, ordinal
  std::deque<Gone> recent_;                            // gone by records that are not synced yet
  std::uint64_t sequence_ = 1;                         // of the next record
  std::uint64_t written_in_ = 0;                       // segment of the last record
  std::uint64_t synced_ = 0;                           // records up to here outlast the machine's power
  std::uint64_t live_bytes_ = 0, to_come_ = 0;
  std::uint64_t segment_blocks_ = 0;  // bytes of all segments, in whole blocks
  std::uint64_t other_blocks_ = 0;    // manifest, lock, quarantine
  std::unique_ptr<File> reserve_;
  std::uint64_t reserve_bytes_ = 0;
  Counters counters_;
  std::string note_;
  bool fresh_ = false, compacting_ = false, retrying_ = false;
  bool full_ = false, unwritable_ = false, broken_ = false, fenced_ = false;
  bool sync_out_ = false;
  bool head_untrusted_ = false;  // a sync of it failed
  Time compact_due_ = Time::max(), sync_due_ = Time::max(), retry_due_ = Time::max();
  Duration retry_after_{0};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // a sync may come back after it is gone
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SEGMENT_JOURNAL_H_
