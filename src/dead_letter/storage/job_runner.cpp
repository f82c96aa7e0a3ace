#include "dead_letter/storage/job_runner.h"

#include <unistd.h>

#include <cstdio>
#include <utility>

namespace sagetally::dead_letter {
namespace {

constexpr int kMaxDamagedFiles = 999;

}  // namespace

std::string ReopeningDatabase::MoveAside() const {
  for (int number = 1; number <= kMaxDamagedFiles; ++number) {
    std::string path = settings_.path + ".damaged-" + std::to_string(number);
    if (::access(path.c_str(), F_OK) == 0) continue;
    std::rename(settings_.path.c_str(), path.c_str());
    for (const char* suffix : {"-wal", "-shm"}) ::unlink((settings_.path + suffix).c_str());
    return path;
  }
  return "";
}

bool ReopeningDatabase::EnsureOpen() {
  // Without this check, jobs would go on writing to a deleted file.
  const bool has_vanished = database_ != nullptr && !database_->IsFileInPlace();
  if (has_vanished) database_.reset();
  if (!database_) database_ = std::make_unique<Database>(settings_);
  return has_vanished;
}

std::optional<JobError> ReopeningDatabase::Run(const JobRunner::Job& job) {
  try {
    if (EnsureOpen()) {
      return JobError{StoreError::Kind::kDamaged, settings_.path + " was missing and has been created again",
                      true};
    }
    job(*database_);
    return std::nullopt;
  } catch (const StoreError& error) {
    if (error.kind == StoreError::Kind::kBusy || error.kind == StoreError::Kind::kFull) {
      return JobError{error.kind, error.what(), false};
    }
    database_.reset();
    if (error.kind != StoreError::Kind::kDamaged) return JobError{error.kind, error.what(), false};
    return JobError{error.kind, std::string(error.what()) + "; moved to " + MoveAside(), true};
  } catch (const std::exception& error) {
    database_.reset();
    return JobError{StoreError::Kind::kOther, error.what(), false};
  }
}

bool InlineJobRunner::Run(Job job, Done done) {
  std::optional<JobError> error = injected_error ? injected_error : database_.Run(job);
  results_.push_back({std::move(done), std::move(error)});
  return true;
}

bool InlineJobRunner::Deliver() {
  if (results_.empty()) return false;
  for (const JobResult& result : std::exchange(results_, {})) result.Deliver();
  return true;
}

}  // namespace sagetally::dead_letter
