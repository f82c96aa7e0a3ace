// Group commit: decides when the newest segment is synced, so that one sync in the background covers all
// records of a short time, and keeps track of which records survive a loss of power. Owned by the journal and
// used on the thread of the event loop only. SyncNow is the only function that does I/O. Records are
// identified by their sequence numbers.
#ifndef SAGETALLY_SRC_JOURNAL_GROUP_COMMIT_H_
#define SAGETALLY_SRC_JOURNAL_GROUP_COMMIT_H_

#include <cstdint>

#include "journal/file_system/file_system.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

class GroupCommit {
 public:
  // `is_enabled` says whether the records of any class are synced. `delay` is the time from a request to its
  // sync.
  GroupCommit(bool is_enabled, Duration delay) : is_enabled_(is_enabled), delay_(delay) {}

  bool is_enabled() const { return is_enabled_; }
  // Returns the highest sequence number up to which all records survive a loss of power.
  std::uint64_t synced_sequence() const { return synced_sequence_; }
  bool IsSynced(std::uint64_t sequence) const { return sequence <= synced_sequence_; }
  // Returns when the next sync is due, or Time::max() if none is requested or one is running.
  Time due() const { return due_; }

  // Requests a sync after the delay. Returns true if this set a new due time, and false if a sync is
  // requested or running already.
  bool Request(Time now);
  void CancelRequest() { due_ = Time::max(); }

  // The result of Begin.
  enum class Start {
    kNothingToDo,  // a sync is running
    kAllSynced,    // all records are synced already
    kUntrusted,    // an earlier sync of the file failed, so it must not be synced again
    kStarted       // the caller must sync the file and then call Complete
  };
  // Called when the sync is due. `last_sequence` is the sequence number of the last record in the file.
  Start Begin(std::uint64_t last_sequence);

  // Called when the background sync, which covers the records up to `sequence`, has ended with `error`, an
  // errno value. Returns false if it failed and SyncNow has not synced these records meanwhile.
  bool Complete(std::uint64_t sequence, int error);

  // Syncs the file at once, before another file replaces it, unless its records up to `last_sequence` are
  // synced already. Does nothing if group commit is not enabled. Returns an errno value.
  int SyncNow(File& file, std::uint64_t last_sequence);
  // Called when records are appended to another file from now on.
  void OnFileReplaced() { is_file_untrusted_ = false; }
  // Called when the caller itself has synced all records up to `sequence`.
  void SetSynced(std::uint64_t sequence) { synced_sequence_ = sequence; }

 private:
  const bool is_enabled_;
  const Duration delay_;
  std::uint64_t synced_sequence_ = 0;
  Time due_ = Time::max();
  bool is_running_ = false;  // whether a background sync is running
  // Whether a sync of the present file failed. The kernel may then have dropped the data that it could not
  // write, and a second sync would succeed without it.
  bool is_file_untrusted_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_GROUP_COMMIT_H_
