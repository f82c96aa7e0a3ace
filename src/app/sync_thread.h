// A thread that syncs files, because a sync may take long and the event loop must not wait for the disk.
// Owned by JournalService. All public functions are called on the event loop's thread.
#ifndef SAGETALLY_SRC_APP_SYNC_THREAD_H_
#define SAGETALLY_SRC_APP_SYNC_THREAD_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "journal/file_system/file_system.h"
#include "net/wakeup_descriptor.h"

namespace sagetally {

// The thread with its queue of files.
class SyncThread {
 public:
  // `wakeup` is notified whenever results are available, and its callback must call DeliverResults(). It must
  // outlive this object.
  explicit SyncThread(const WakeupDescriptor& wakeup);
  // Waits for the sync that is running. Syncs that have not started are dropped.
  ~SyncThread();
  SyncThread(const SyncThread&) = delete;
  SyncThread& operator=(const SyncThread&) = delete;

  // Queues a sync of `file`. `on_done` is called from within DeliverResults() with 0 or an errno number.
  void Sync(std::shared_ptr<File> file, std::function<void(int error)> on_done);
  // Calls the callbacks of all syncs that have completed.
  void DeliverResults();

 private:
  struct Job {
    std::shared_ptr<File> file;
    std::function<void(int error)> on_done;
    int error = 0;
  };
  void RunJobs();

  const WakeupDescriptor& wakeup_;
  std::mutex mutex_;  // guards the three members below
  std::deque<Job> queued_jobs_;
  std::vector<Job> completed_jobs_;
  bool is_stopping_ = false;
  std::condition_variable work_available_;
  std::thread thread_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_SYNC_THREAD_H_
