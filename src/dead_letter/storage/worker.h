// Work on the store, off the event loop's thread: a bounded queue of jobs, whose results come back to the
// loop.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dead_letter/storage/database.h"

namespace sagetally::dead_letter {

struct JobError {
  StoreError::Kind kind = StoreError::Kind::kOther;
  std::string what;
  bool set_aside = false;  // the file was damaged or gone, and a new one was begun
};

class JobRunner {
 public:
  virtual ~JobRunner() = default;
  using Job = std::function<void(Database&)>;
  // Null: it went well. Called on the loop, later.
  using Done = std::function<void(const JobError*)>;
  // False if the queue is full; then neither is ever called.
  virtual bool Run(Job job, Done done) = 0;
};

// Opens the file anew for each job that finds it closed: after an error, or when its path names another one.
// A damaged file is moved aside, as PATH.damaged-N.
class OpenStore {
 public:
  explicit OpenStore(Database::Settings settings) : settings_(std::move(settings)) {}
  std::optional<JobError> Run(const JobRunner::Job& job);

 private:
  std::string SetAside() const;
  Database::Settings settings_;
  std::unique_ptr<Database> database_;
  bool opened_before_ = false;
};

// One thread. `wake` is called from it whenever results wait; Deliver, on the loop, hands them over.
class Worker : public JobRunner {
 public:
  static constexpr std::size_t kMostJobs = 64;
  Worker(Database::Settings settings, std::function<void()> wake);
  // Waits a little for the job under way; one that is stuck in the system is left to end with the process.
  ~Worker() override;
  bool Run(Job job, Done done) override;
  void Deliver();
  std::size_t waiting() const;

 private:
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

// Runs each job at once, on the caller's thread, and hands results over with Deliver: for tests and models.
class InlineJobRunner : public JobRunner {
 public:
  explicit InlineJobRunner(Database::Settings settings) : store_(std::move(settings)) {}
  bool Run(Job job, Done done) override;
  bool Deliver();                // false if nothing waited
  std::optional<JobError> fail;  // the next jobs fail so, without running

 private:
  OpenStore store_;
  std::vector<std::pair<Done, std::optional<JobError>>> results_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_WORKER_H_
