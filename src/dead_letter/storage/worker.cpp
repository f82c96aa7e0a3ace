#include "dead_letter/storage/worker.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace sagetally::dead_letter {
namespace {

constexpr auto kShutdownTimeout = std::chrono::milliseconds(150);

struct QueuedJob {
  JobRunner::Job job;
  JobRunner::Done done;
};

}  // namespace

// The state that the worker and its thread share. The thread owns it too, because a stuck thread may outlive
// the worker.
struct Worker::Shared {
  Shared(Database::Settings settings, std::function<void()> wake)
      : database(std::move(settings)), wake(std::move(wake)) {}

  // The main function of the thread.
  void RunJobs() {
    std::unique_lock lock(mutex);
    while (true) {
      changed.wait(lock, [this] { return is_stopping || !jobs.empty(); });
      if (is_stopping) break;
      QueuedJob next = std::move(jobs.front());
      jobs.pop_front();
      lock.unlock();
      std::optional<JobError> error = database.Run(next.job);
      next.job = nullptr;  // frees what the job owns before the lock is acquired
      lock.lock();
      results.push_back({std::move(next.done), std::move(error)});
      if (!is_stopping) wake();
    }
    has_stopped = true;
    changed.notify_all();
  }

  ReopeningDatabase database;  // used only by the thread
  const std::function<void()> wake;
  std::mutex mutex;  // guards the members below
  std::condition_variable changed;
  std::deque<QueuedJob> jobs;
  std::vector<JobResult> results;
  bool is_stopping = false;
  bool has_stopped = false;
};

Worker::Worker(Database::Settings settings, std::function<void()> wake)
    : shared_(std::make_shared<Shared>(std::move(settings), std::move(wake))) {
  std::thread([shared = shared_] { shared->RunJobs(); }).detach();
}

Worker::~Worker() {
  std::unique_lock lock(shared_->mutex);
  shared_->is_stopping = true;
  shared_->changed.notify_all();
  shared_->changed.wait_for(lock, kShutdownTimeout, [this] { return shared_->has_stopped; });
}

bool Worker::Run(Job job, Done done) {
  const std::lock_guard lock(shared_->mutex);
  if (shared_->jobs.size() >= kMaxQueuedJobs) return false;
  shared_->jobs.push_back({std::move(job), std::move(done)});
  shared_->changed.notify_all();
  return true;
}

void Worker::Deliver() {
  std::vector<JobResult> results;
  {
    const std::lock_guard lock(shared_->mutex);
    results.swap(shared_->results);
  }
  for (const JobResult& result : results) result.Deliver();
}

}  // namespace sagetally::dead_letter
