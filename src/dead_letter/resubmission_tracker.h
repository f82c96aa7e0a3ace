// Tells the store which dead letters their clients have submitted again as separate messages, so that the
// dead letters are not redriven as well. Part of the dead-letter manager; used on the event loop only.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RESUBMISSION_TRACKER_H_
#define SAGETALLY_SRC_DEAD_LETTER_RESUBMISSION_TRACKER_H_

#include <optional>
#include <unordered_set>
#include <vector>

#include "dead_letter/manager_context.h"

namespace sagetally::dead_letter {

class ResubmissionTracker {
 public:
  explicit ResubmissionTracker(ManagerContext& context) : context_(context) {}

  // The tracker keeps the identities (IdentityOf) of the dead letters that may be redriven.
  void AddRedrivable(std::uint64_t identity) { redrivable_.insert(identity); }
  bool IsRedrivable(std::uint64_t identity) const { return redrivable_.contains(identity); }

  // Records that a client submitted message `number` with this identity.
  void Add(std::uint64_t identity, std::uint64_t number);
  // Whether a client has submitted the same identity again, as a message later than `number`, and the store
  // may not have recorded that yet.
  bool HasLaterThan(std::uint64_t number, const std::optional<std::uint64_t>& identity) const;
  // Starts a job that records the resubmissions in the store, unless one is already running.
  void StartRecording();

 private:
  struct Resubmission {
    std::uint64_t identity = 0;
    std::uint64_t number = 0;
  };
  void OnRecorded(std::size_t recorded, int marked);

  ManagerContext& context_;
  std::unordered_set<std::uint64_t> redrivable_;
  std::vector<Resubmission> unrecorded_;
  bool is_recording_ = false;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RESUBMISSION_TRACKER_H_
