// Redrives dead letters beside live traffic: fetches messages that are due, asks the planner for slots,
// claims them in the store and hands them to the pipeline. Part of the dead-letter manager.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_LOOP_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_LOOP_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dead_letter/manager_context.h"
#include "dead_letter/redrive_planner.h"
#include "dead_letter/resubmission_tracker.h"
#include "dead_letter/rule_pacer.h"
#include "dead_letter/store_health.h"

namespace sagetally::dead_letter {

class RedriveLoop {
 public:
  RedriveLoop(ManagerContext& context, StoreHealth& health, const ResubmissionTracker& resubmissions);

  // Taken over with the next step. `text` tells whether they differ from those that the store knows.
  void SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text);
  // The store's generation of the rules is to be looked up again.
  void ForgetGeneration() { generation_ = 0; }
  // Messages may have become due.
  void ReviewSoon() { next_fetch_ = Time(0); }
  // Also those of destinations that could not take any.
  void ReviewAllSoon();
  // No message is claimed from now on.
  void Stop() { is_stopping_ = true; }

  // A redrive of an earlier process that is still pending.
  void AdoptRedrive(const Message& message);
  void OnCallCompleted(const Message& message, const CallResult& result);
  // A redrive ended. Returns when the message may be redriven again, if it was not delivered.
  Time OnRedriveCompleted(const Message& message);

  // Starts what is due. To be called while the store is reconciled.
  void RunDueWork();
  // When RunDueWork is to be called again; Time::max() if an event will do so.
  Time NextRunAt() const;

  bool IsRedriving(std::uint64_t identity) const { return redriven_identities_.contains(identity); }
  bool is_claiming() const { return claim_jobs_ > 0; }
  int in_flight_count() const { return planner_.in_flight_count(); }
  // Of redrives in flight that have an identity.
  std::size_t identity_count() const { return redriven_identities_.size(); }

 private:
  using Candidates = std::vector<Database::Candidate>;
  struct GrantRound {
    Candidates granted;
    Time next_attempt;  // for the others
  };

  bool HasFreeSlots() const { return planner_.in_flight_count() < planner_.MaxInFlight(); }
  void LookUpGeneration();
  void StartFetch(Time now);
  void OnFetched(const JobError* error, Database::Candidates due);
  GrantRound RequestGrants(Candidates& candidates, Time now, Time next_attempt);
  RedrivePlanner::Load CurrentLoad() const;
  void StartClaim(Candidates granted);
  void ReleaseGrants(const Candidates& granted);
  void OnClaimed(const Database::Candidate& candidate, std::optional<DeadLetter> claimed);
  void ReturnClaim(const DeadLetterId& id, int destination, Time not_before);

  ManagerContext& context_;
  StoreHealth& health_;
  const ResubmissionTracker& resubmissions_;
  RedrivePlanner planner_;
  std::shared_ptr<const RuleSet> rules_;
  std::shared_ptr<const RuleSet> next_rules_;  // null: none
  std::uint64_t rules_hash_ = 0;
  std::int64_t generation_ = 0;  // 0: not known
  RulePacer pacer_;
  std::map<int, Time> blocked_destinations_;  // and until when; Time::max(): until a redrive ends
  Time next_fetch_{0};
  bool is_fetching_ = false;
  int claim_jobs_ = 0;
  bool is_stopping_ = false;
  std::multiset<std::uint64_t> redriven_identities_;  // of redrives in flight
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_LOOP_H_
