// The interface through which the event loop uses the store: it submits jobs that may run on another thread,
// and receives their results on the loop. Also has the runner for tests, which runs jobs on the caller's
// thread; worker.h has the one for production.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_JOB_RUNNER_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_JOB_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dead_letter/storage/database.h"

namespace sagetally::dead_letter {

// Why a job failed.
struct JobError {
  StoreError::Kind kind = StoreError::Kind::kOther;
  std::string message;
  bool file_replaced = false;  // the file was damaged or missing and is replaced by a new one
};

// Runs jobs on the dead-letter store in the order of their submission.
class JobRunner {
 public:
  virtual ~JobRunner() = default;
  using Job = std::function<void(Database&)>;
  // Receives the error, or null if the job succeeded. Called on the loop, never from within Run.
  using Done = std::function<void(const JobError*)>;
  // Queues a job. Returns false if the queue is full; then neither function is ever called.
  virtual bool Run(Job job, Done done) = 0;
};

// The result of a job until it is passed to the event loop.
struct JobResult {
  JobRunner::Done done;
  std::optional<JobError> error;
  void Deliver() const { done(error ? &*error : nullptr); }
};

// Runs jobs on a database, and opens the file again after an error or when the path no longer refers to the
// open file. A damaged file is renamed to PATH.damaged-N. Used by one thread at a time.
class ReopeningDatabase {
 public:
  explicit ReopeningDatabase(Database::Settings settings) : settings_(std::move(settings)) {}
  // Runs the job. Returns nothing if it succeeded.
  std::optional<JobError> Run(const JobRunner::Job& job);

 private:
  // Opens the file if necessary. Returns true if it was missing and has been created again.
  bool EnsureOpen();
  // Renames the damaged file. Returns the new path, or an empty string if no name was free.
  std::string MoveAside() const;

  Database::Settings settings_;
  std::unique_ptr<Database> database_;
};

// Runs each job immediately on the caller's thread, and stores the results until Deliver is called. For tests
// and simulations.
class InlineJobRunner : public JobRunner {
 public:
  explicit InlineJobRunner(Database::Settings settings) : database_(std::move(settings)) {}
  bool Run(Job job, Done done) override;
  // Passes the results on. Returns false if there were none.
  bool Deliver();

  std::optional<JobError> injected_error;  // while set, jobs fail with it without running

 private:
  ReopeningDatabase database_;
  std::vector<JobResult> results_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_JOB_RUNNER_H_
