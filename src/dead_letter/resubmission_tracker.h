// Tells the store which dead letters their clients have submitted again as messages of their own, so that
// they are not redriven beside these. Part of the dead-letter manager.
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

  // Identities (IdentityOf) of dead letters that may be redriven.
  void AddRedrivable(std::uint64_t identity) { redrivable_.insert(identity); }
  bool IsRedrivable(std::uint64_t identity) const { return redrivable_.contains(identity); }

  // A client submitted message `number`.
  void Add(std::uint64_t identity, std::uint64_t number);
  // Whether a client has submitted it again, as a message later than `number`, and the store may not know
  // yet.
  bool HasLaterThan(std::uint64_t number, const std::optional<std::uint64_t>& identity) const;
  // Hands what was added to the store, unless some is on its way.
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
