// Decides when the newest segment is synced: one sync, in the background, for all records of a short time.
// Keeps track of which records survive a loss of power. Does no I/O but SyncNow.
#ifndef SAGETALLY_SRC_JOURNAL_GROUP_COMMIT_H_
#define SAGETALLY_SRC_JOURNAL_GROUP_COMMIT_H_

#include <cstdint>

#include "journal/file_system/file_system.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

class GroupCommit {
 public:
  // `is_enabled`: whether records of any class are synced.
  GroupCommit(bool is_enabled, Duration delay) : is_enabled_(is_enabled), delay_(delay) {}

  bool is_enabled() const { return is_enabled_; }
  // Records up to this one survive a loss of power.
  std::uint64_t synced_sequence() const { return synced_sequence_; }
  bool IsSynced(std::uint64_t sequence) const { return sequence <= synced_sequence_; }
  // When to sync; Time::max() if no sync is wanted, or one is running.
  Time due() const { return due_; }

  // Asks for a sync soon. Returns true if it set a new due time.
  bool Request(Time now);
  void CancelRequest() { due_ = Time::max(); }

  enum class Start {
    kNothingToDo,  // a sync is running
    kAllSynced,    // all records are synced already
    kUntrusted,    // an earlier sync of the file failed
    kStarted       // the caller syncs the file and calls Complete
  };
  // The due time has come.
  Start Begin(std::uint64_t last_sequence);

  // The background sync has ended, which covered records up to `sequence`. Returns false if it failed and
  // SyncNow has not synced that file meanwhile.
  bool Complete(std::uint64_t sequence, int error);

  // Syncs the file before another one takes its place. Gives an errno number.
  int SyncNow(File& file, std::uint64_t last_sequence);
  // Another file is written to from now on.
  void OnFileReplaced() { is_file_untrusted_ = false; }
  // The caller has synced everything up to this record itself.
  void SetSynced(std::uint64_t sequence) { synced_sequence_ = sequence; }

 private:
  const bool is_enabled_;
  const Duration delay_;
  std::uint64_t synced_sequence_ = 0;
  Time due_ = Time::max();
  bool is_running_ = false;
  bool is_file_untrusted_ =
      false;  // a sync of it failed: the kernel may have dropped what it could not write
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_GROUP_COMMIT_H_
