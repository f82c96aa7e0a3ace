// The journal within a dispatcher: its timer, its thread for syncing, and the wall clock carried on over a
// restart.
#ifndef SAGETALLY_SRC_APP_JOURNAL_SERVICE_H_
#define SAGETALLY_SRC_APP_JOURNAL_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "config/config.h"
#include "config/node_file.h"
#include "journal/file_system/posix_file_system.h"
#include "journal/segment_journal.h"
#include "net/event_loop.h"
#include "net/wakeup_descriptor.h"
#include "time/clock.h"

namespace sagetally {

// Throws std::runtime_error naming the key at fault.
JournalSettings MakeJournalSettings(const Config& config, const JournalFileSettings& file);

class JournalService : public JournalHost {
 public:
  struct Callbacks {
    std::function<void()> progress;     // what waited for the journal may go on
    std::function<void()> fenced;       // another process has the journal
    std::function<void()> begins = {};  // as JournalHost::Begins; may be empty
  };
  JournalService(EventLoop& loop, Logger& log, const Config& config, const JournalFileSettings& file,
                 MessageTable& ledger, SystemClock& clock, Callbacks heard,
                 FileDescriptor lock = FileDescriptor());
  ~JournalService() override;

  SegmentJournal& journal() { return *journal_; }

  void ScheduleTurn(Duration d) override { turn_.Schedule(d); }
  void OnProgress() override { progress_.Schedule(Duration(0)); }
  void SyncInBackground(std::shared_ptr<File> file, std::function<void(int)> done) override;
  void BeforeFirstWrite() override {
    if (begins_) begins_();
  }
  void OnFenced() override { fenced_.Schedule(Duration(0)); }

 private:
  class SyncThread;
  PosixFileSystem files_;
  std::function<void()> begins_;
  Timer turn_, progress_, fenced_;
  WakeupDescriptor bell_;
  std::unique_ptr<SyncThread> syncs_;  // begun with the first sync
  std::unique_ptr<SegmentJournal> journal_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_JOURNAL_SERVICE_H_
