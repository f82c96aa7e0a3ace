#include "journal/group_commit.h"

namespace sagetally {

bool GroupCommit::Request(Time now) {
  if (is_running_ || due_ != Time::max()) return false;
  due_ = now + delay_;
  return true;
}

GroupCommit::Start GroupCommit::Begin(std::uint64_t last_sequence) {
  due_ = Time::max();
  if (is_running_) return Start::kNothingToDo;
  if (IsSynced(last_sequence)) return Start::kAllSynced;
  if (is_file_untrusted_) return Start::kUntrusted;
  is_running_ = true;
  return Start::kStarted;
}

bool GroupCommit::Complete(std::uint64_t sequence, int error) {
  is_running_ = false;
  if (IsSynced(sequence)) return true;
  if (error != 0) return false;
  synced_sequence_ = sequence;
  return true;
}

int GroupCommit::SyncNow(File& file, std::uint64_t last_sequence) {
  if (!is_enabled_ || IsSynced(last_sequence)) return 0;
  const int error = file.Sync();
  if (error == 0) synced_sequence_ = last_sequence;
  is_file_untrusted_ = error != 0;
  return error;
}

}  // namespace sagetally
