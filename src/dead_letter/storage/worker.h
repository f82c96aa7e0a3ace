// Runs jobs on the dead-letter store on a separate thread, so that the event loop does not wait for the disk.
// The event loop owns it and calls all its functions.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_

#include <functional>
#include <memory>

#include "dead_letter/storage/job_runner.h"

namespace sagetally::dead_letter {

// The JobRunner of a running node.
class Worker : public JobRunner {
 public:
  // Run returns false while this many jobs wait.
  static constexpr std::size_t kMaxQueuedJobs = 64;

  // Calls `wake` on the worker's thread whenever there are new results for Deliver.
  Worker(Database::Settings settings, std::function<void()> wake);
  // Waits a short time (kShutdownTimeout in worker.cpp) for the running job. A job that is stuck in a system
  // call is left to end with the process.
  ~Worker() override;
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  bool Run(Job job, Done done) override;
  // Called on the event loop: passes on the results of all jobs completed so far.
  void Deliver();

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_
