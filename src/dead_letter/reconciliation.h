// Reconciles the store with the journal after startup, and whenever it is unknown which messages are claimed:
// releases each claim to which no redrive in this process belongs. Part of the dead-letter manager; used on
// the event loop only.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RECONCILIATION_H_
#define SAGETALLY_SRC_DEAD_LETTER_RECONCILIATION_H_

#include <set>
#include <vector>

#include "dead_letter/manager_context.h"
#include "dead_letter/redrive_loop.h"
#include "dead_letter/resubmission_tracker.h"
#include "dead_letter/store_health.h"

namespace sagetally::dead_letter {

class Reconciliation {
 public:
  Reconciliation(ManagerContext& context, StoreHealth& health, ResubmissionTracker& resubmissions,
                 RedriveLoop& redrives)
      : context_(context), health_(health), resubmissions_(resubmissions), redrives_(redrives) {}

  // `journal_lost` says that the journal was empty at startup, so claimed messages may have run.
  void SetJournalLost(bool journal_lost) { is_journal_lost_ = journal_lost; }
  // Marks the reconciliation as not done, so that it runs again.
  void Invalidate() { is_done_ = false; }
  // Starts the reconciliation, unless it is already running or a claim is in progress.
  void Start();
  bool is_done() const { return is_done_; }

 private:
  struct Findings {
    int claims_given_up = 0;
    std::vector<std::uint64_t> identities;
    std::uint64_t highest_number = 0;
  };
  std::set<DeadLetterId> RedrivesInFlight() const;
  void OnReconciled(const Findings& findings);

  ManagerContext& context_;
  StoreHealth& health_;
  ResubmissionTracker& resubmissions_;
  RedriveLoop& redrives_;
  bool is_done_ = false;
  bool is_running_ = false;
  bool is_journal_lost_ = false;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RECONCILIATION_H_
