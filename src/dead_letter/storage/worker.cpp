#include "dead_letter/storage/worker.h"

#include <unistd.h>

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace sagetally::dead_letter {

std::string OpenStore::SetAside() const {
  for (int n = 1; n < 1000; ++n) {
    const std::string beside = settings_.path + ".damaged-" + std::to_string(n);
    if (::access(beside.c_str(), F_OK) == 0) continue;
    std::rename(settings_.path.c_str(), beside.c_str());
    for (const char* part : {"-wal", "-shm"}) ::unlink((settings_.path + part).c_str());
    return beside;
  }
  return "";
}

std::optional<JobError> OpenStore::Run(const JobRunner::Job& job) {
  try {
    bool gone = false;
    if (database_ && !database_->StandsAtItsPath()) {
      database_.reset();  // writing on would fill a file that nobody can find
      gone = true;
    }
    if (!database_) database_ = std::make_unique<Database>(settings_);
    opened_before_ = true;
    if (gone) return JobError{StoreError::Kind::kDamaged, settings_.path + " was gone: begun anew", true};
    job(*database_);
    return std::nullopt;
  } catch (const StoreError& error) {
    if (error.kind == StoreError::Kind::kBusy || error.kind == StoreError::Kind::kFull) {
      return JobError{error.kind, error.what(), false};
    }
    database_.reset();
    if (error.kind != StoreError::Kind::kDamaged) return JobError{error.kind, error.what(), false};
    return JobError{error.kind, std::string(error.what()) + "; moved to " + SetAside(), true};
  } catch (const std::exception& error) {
    database_.reset();
    return JobError{StoreError::Kind::kOther, error.what(), false};
  }
}

// Owned by the thread too: a stuck one may outlive the worker.
struct Worker::Shared {
  Shared(Database::Settings settings, std::function<void()> wake)
      : store(std::move(settings)), wake(std::move(wake)) {}

  void Serve() {
    std::unique_lock lock(mutex);
    while (true) {
      changed.wait(lock, [this] { return ending || !jobs.empty(); });
      if (ending) break;
      auto [job, done] = std::move(jobs.front());
      jobs.pop_front();
      busy = true;
      lock.unlock();
      std::optional<JobError> error = store.Run(job);
      job = nullptr;
      lock.lock();
      busy = false;
      results.emplace_back(std::move(done), std::move(error));
      if (!ending) wake();
    }
    ended = true;
    changed.notify_all();
  }

  OpenStore store;
  std::function<void()> wake;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::pair<Job, Done>> jobs;
  std::deque<std::pair<Done, std::optional<JobError>>> results;
  bool ending = false, ended = false, busy = false;
};

Worker::Worker(Database::Settings settings, std::function<void()> wake)
    : shared_(std::make_shared<Shared>(std::move(settings), std::move(wake))) {
  std::thread([shared = shared_] { shared->Serve(); }).detach();
}

Worker::~Worker() {
  std::unique_lock lock(shared_->mutex);
  shared_->ending = true;
  shared_->changed.notify_all();
  shared_->changed.wait_for(lock, std::chrono::milliseconds(150), [this] { return shared_->ended; });
}

bool Worker::Run(Job job, Done done) {
  const std::lock_guard lock(shared_->mutex);
  if (shared_->jobs.size() >= kMostJobs) return false;
  shared_->jobs.emplace_back(std::move(job), std::move(done));
  shared_->changed.notify_all();
  return true;
}

std::size_t Worker::waiting() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->jobs.size() + (shared_->busy ? 1 : 0);
}

void Worker::Deliver() {
  std::deque<std::pair<Done, std::optional<JobError>>> results;
  {
    const std::lock_guard lock(shared_->mutex);
    results.swap(shared_->results);
  }
  for (auto& [done, error] : results) done(error ? &*error : nullptr);
}

bool InlineJobRunner::Run(Job job, Done done) {
  results_.emplace_back(std::move(done), fail ? fail : store_.Run(job));
  return true;
}

bool InlineJobRunner::Deliver() {
  if (results_.empty()) return false;
  for (auto& [done, error] : std::exchange(results_, {})) done(error ? &*error : nullptr);
  return true;
}

}  // namespace sagetally::dead_letter
