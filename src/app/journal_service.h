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
JournalSettings JournalFrom(const Config& config, const JournalFile& file);

class JournalNode : public JournalHost {
 public:
  struct Heard {
    std::function<void()> progress;     // what waited for the journal may go on
    std::function<void()> fenced;       // another process has the journal
    std::function<void()> begins = {};  // as JournalHost::Begins; may be empty
  };
  JournalNode(Loop& loop, Logger& log, const Config& config, const JournalFile& file, Ledger& ledger,
              SystemClock& clock, Heard heard, Fd lock = Fd());
  ~JournalNode() override;

  SegmentJournal& journal() { return *journal_; }

  void TurnAfter(Duration d) override { turn_.After(d); }
  void Progress() override { progress_.After(Duration(0)); }
  void Sync(std::shared_ptr<File> file, std::function<void(int)> done) override;
  void Begins() override {
    if (begins_) begins_();
  }
  void Fenced() override { fenced_.After(Duration(0)); }

 private:
  class SyncThread;
  RealFileSystem files_;
  std::function<void()> begins_;
  Timer turn_, progress_, fenced_;
  Bell bell_;
  std::unique_ptr<SyncThread> syncs_;  // begun with the first sync
  std::unique_ptr<SegmentJournal> journal_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_JOURNAL_SERVICE_H_
