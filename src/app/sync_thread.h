// A thread that syncs files, since a sync may take long and the event loop must not wait for the disk. Sync
// and DeliverResults are called on the loop's thread.
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

class SyncThread {
 public:
  // `wakeup`: notified whenever there are results; its callback is to call DeliverResults. It must outlive
  // this object.
  explicit SyncThread(const WakeupDescriptor& wakeup);
  // Waits for the sync under way; those that have not begun are dropped.
  ~SyncThread();
  SyncThread(const SyncThread&) = delete;
  SyncThread& operator=(const SyncThread&) = delete;

  // Syncs `file` on the thread. `on_done` gets 0 or errno, from within DeliverResults.
  void Sync(std::shared_ptr<File> file, std::function<void(int error)> on_done);
  void DeliverResults();

 private:
  struct Job {
    std::shared_ptr<File> file;
    std::function<void(int error)> on_done;
    int error = 0;
  };
  void RunJobs();

  const WakeupDescriptor& wakeup_;
  std::mutex mutex_;  // of the three that follow
  std::deque<Job> queued_jobs_;
  std::vector<Job> completed_jobs_;
  bool is_stopping_ = false;
  std::condition_variable work_available_;
  std::thread thread_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_SYNC_THREAD_H_
