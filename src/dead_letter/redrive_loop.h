// Redrives dead letters alongside live traffic: fetches messages that are due, requests slots from the
// planner, claims the messages in the store and passes them to the pipeline. Part of the dead-letter manager;
// used on the event loop only.
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

  // Sets the rules, which apply from the next fetch on. The hash of `text` tells the store whether they
  // differ from the previous rules.
  void SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text);
  // Makes the loop look up the store's generation number of the rules again.
  void ForgetGeneration() { generation_ = 0; }
  // Makes the next RunDueWork fetch messages, since some may have become due.
  void ReviewSoon() { next_fetch_ = Time(0); }
  // The same, and also fetches messages of the destinations that are blocked.
  void ReviewAllSoon();
  // Claims no further messages.
  void Stop() { is_stopping_ = true; }

  // Takes over a pending redrive that an earlier process started.
  void AdoptRedrive(const Message& message);
  void OnCallCompleted(const Message& message, const CallResult& result);
  // Called when a redrive has completed. Returns the earliest time of the next redrive of the message if this
  // one failed, otherwise Time(0).
  Time OnRedriveCompleted(const Message& message);

  // Starts the work that is due. May only be called while the store is reconciled.
  void RunDueWork();
  // Returns when RunDueWork must be called again, or Time::max() if the loop waits for an event instead.
  Time NextRunAt() const;

  bool IsRedriving(std::uint64_t identity) const { return redriven_identities_.contains(identity); }
  bool is_claiming() const { return claim_jobs_ > 0; }
  int in_flight_count() const { return planner_.in_flight_count(); }
  // Number of redrives in flight that have an identity (IdentityOf).
  std::size_t identity_count() const { return redriven_identities_.size(); }

 private:
  using Candidates = std::vector<Database::Candidate>;
  struct GrantRound {
    Candidates granted;
    Time next_attempt;  // when to request grants for the other candidates again
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
  std::shared_ptr<const RuleSet> next_rules_;  // replaces `rules_` at the next step; null if there is none
  std::uint64_t rules_hash_ = 0;
  std::int64_t generation_ = 0;  // of the rules in the store; 0 if unknown
  RulePacer pacer_;
  // The end of each destination's block; Time::max() if it ends when a redrive completes.
  std::map<int, Time> blocked_destinations_;
  Time next_fetch_{0};
  bool is_fetching_ = false;
  int claim_jobs_ = 0;
  bool is_stopping_ = false;
  std::multiset<std::uint64_t> redriven_identities_;  // identities (IdentityOf) of the redrives in flight
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_LOOP_H_
