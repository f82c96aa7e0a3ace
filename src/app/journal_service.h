// Owns the journal of a dispatcher: opens it, runs its timers on the event loop and its syncs on a thread of
// their own, and makes the dispatcher's clock continue from the latest time in the journal. Owned by the
// Dispatcher; used on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_JOURNAL_SERVICE_H_
#define SAGETALLY_SRC_APP_JOURNAL_SERVICE_H_

#include <functional>
#include <memory>

#include "app/journal_settings.h"
#include "app/sync_thread.h"
#include "config/config.h"
#include "config/node_file.h"
#include "core/message_table.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/segment_journal.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/wakeup_descriptor.h"
#include "time/clock.h"

namespace sagetally {

// The journal of one dispatcher, connected to the event loop.
class JournalService : public JournalHost {
 public:
  struct Callbacks {
    std::function<void()> on_progress;  // records that were not durable may have become durable
    std::function<void()> on_fenced;    // another process has taken over the journal
    // Called from within the constructor, when JournalHost::BeforeFirstWrite() is called. It may throw, and
    // may be empty.
    std::function<void()> before_first_write = {};
  };
  // Reads the journal into `messages`, and makes `clock` continue from the latest time in it. `lock` is the
  // journal's lock if the predecessor has handed it over; if it is empty, the lock is acquired. All
  // references but `config` and `file` must outlive this object. Throws std::runtime_error that names the
  // setting, folder or file that can't be used.
  JournalService(EventLoop& loop, Logger& log, const Config& config, const JournalFileSettings& file,
                 MessageTable& messages, SystemClock& clock, Callbacks callbacks,
                 FileDescriptor lock = FileDescriptor());
  ~JournalService() override;

  // The journal itself.
  SegmentJournal& journal() { return *journal_; }

  // Implements JournalHost; called by the journal.
  void ScheduleWork(Duration delay) override { work_timer_.Schedule(delay); }
  void OnDurabilityProgress() override { progress_timer_.Schedule(Duration(0)); }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> on_done) override;
  void BeforeFirstWrite() override {
    if (before_first_write_) before_first_write_();
  }
  void OnFenced() override { fenced_timer_.Schedule(Duration(0)); }

 private:
  void LogReplay(Logger& log) const;
  void ContinueClock(SystemClock& clock, MessageTable& messages, Logger& log) const;

  PosixFileSystem files_;
  std::function<void()> before_first_write_;
  Timer work_timer_;
  Timer progress_timer_;
  Timer fenced_timer_;
  WakeupDescriptor sync_wakeup_;
  std::unique_ptr<SyncThread> sync_thread_;  // created by the first sync
  std::unique_ptr<SegmentJournal> journal_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_JOURNAL_SERVICE_H_
