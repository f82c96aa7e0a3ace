#include "app/sync_thread.h"

#include <utility>

namespace sagetally {

SyncThread::SyncThread(const WakeupDescriptor& wakeup) : wakeup_(wakeup), thread_([this] { RunJobs(); }) {}

SyncThread::~SyncThread() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  work_available_.notify_one();
  thread_.join();
}

void SyncThread::Sync(std::shared_ptr<File> file, std::function<void(int error)> on_done) {
  {
    const std::lock_guard lock(mutex_);
    queued_jobs_.push_back({std::move(file), std::move(on_done), 0});
  }
  work_available_.notify_one();
}

void SyncThread::DeliverResults() {
  std::vector<Job> completed_jobs;
  {
    const std::lock_guard lock(mutex_);
    completed_jobs.swap(completed_jobs_);
  }
  for (const Job& job : completed_jobs) job.on_done(job.error);
}

void SyncThread::RunJobs() {
  std::unique_lock lock(mutex_);
  while (true) {
    work_available_.wait(lock, [this] { return is_stopping_ || !queued_jobs_.empty(); });
    if (is_stopping_) return;
    Job job = std::move(queued_jobs_.front());
    queued_jobs_.pop_front();
    lock.unlock();
    job.error = job.file->Sync();
    lock.lock();
    completed_jobs_.push_back(std::move(job));
    wakeup_.Notify();
  }
}

}  // namespace sagetally
