// Runs jobs on the store on a thread of its own, off the event loop.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_

#include <functional>
#include <memory>

#include "dead_letter/storage/job_runner.h"

namespace sagetally::dead_letter {

class Worker : public JobRunner {
 public:
  static constexpr std::size_t kMaxQueuedJobs = 64;

  // `wake` is called on the worker's thread whenever results wait for Deliver.
  Worker(Database::Settings settings, std::function<void()> wake);
  // Waits a little for the job that is running; one that is stuck in a system call is left to end with the
  // process.
  ~Worker() override;
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  bool Run(Job job, Done done) override;
  // On the loop: hands over the results so far.
  void Deliver();

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_
