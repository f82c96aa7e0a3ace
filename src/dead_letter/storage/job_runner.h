// How the event loop hands work to the store: jobs that run elsewhere, whose results come back to the loop.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_JOB_RUNNER_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_JOB_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dead_letter/storage/database.h"

namespace sagetally::dead_letter {

struct JobError {
  StoreError::Kind kind = StoreError::Kind::kOther;
  std::string message;
  bool file_replaced = false;  // the file was damaged or gone, and a new one takes its place
};

class JobRunner {
 public:
  virtual ~JobRunner() = default;
  using Job = std::function<void(Database&)>;
  // Null if the job succeeded. Called on the loop, never from within Run.
  using Done = std::function<void(const JobError*)>;
  // False if the queue is full; then neither is ever called.
  virtual bool Run(Job job, Done done) = 0;
};

struct JobResult {
  JobRunner::Done done;
  std::optional<JobError> error;
  void Deliver() const { done(error ? &*error : nullptr); }
};

// Opens the file anew for each job that finds it closed: after an error, or when its path no longer names the
// open file. A damaged file is moved aside, as PATH.damaged-N. For one thread at a time.
class ReopeningDatabase {
 public:
  explicit ReopeningDatabase(Database::Settings settings) : settings_(std::move(settings)) {}
  // Nothing if the job succeeded.
  std::optional<JobError> Run(const JobRunner::Job& job);

 private:
  // Opens the file if need be. True if it had vanished and was made anew.
  bool EnsureOpen();
  // Returns the new path; empty if none was free.
  std::string MoveAside() const;

  Database::Settings settings_;
  std::unique_ptr<Database> database_;
};

// Runs each job at once, on the caller's thread, and keeps the results until Deliver: for tests and models.
class InlineJobRunner : public JobRunner {
 public:
  explicit InlineJobRunner(Database::Settings settings) : database_(std::move(settings)) {}
  bool Run(Job job, Done done) override;
  // False if there was nothing to deliver.
  bool Deliver();

  std::optional<JobError> injected_error;  // the next jobs fail with it, without running

 private:
  ReopeningDatabase database_;
  std::vector<JobResult> results_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_JOB_RUNNER_H_
