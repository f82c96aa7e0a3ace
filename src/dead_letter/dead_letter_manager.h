// The keeper: takes ended messages over into the store, lets rules send them again beside live traffic, and
// takes the results back. It lives on the loop; the store works elsewhere.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_MANAGER_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_MANAGER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/message_table.h"
#include "core/ports.h"
#include "dead_letter/redrive_planner.h"
#include "dead_letter/storage/worker.h"
#include "logging/logger.h"

namespace sagetally::dead_letter {

// Names the message behind a request over all its hand-ins: an event, or a key within class and destination;
// 0 if nothing does.
std::uint64_t IdentityOf(const Request& request);

class DeadLetterManager : public DeadLetterSink {
 public:
  struct Settings {
    std::string node;
    std::shared_ptr<const ReviewSettings> review;  // read by the store's threads too
    RedrivePlanner::Limits limits;
    bool undeliverable = true, deferred = false;
    std::size_t owed_bytes = 1'000'000;
    std::uint64_t seed = 0;
  };
  struct Pipeline {  // the stages, as far as needed
    std::function<bool(Message)> accept_redrive;
    std::function<bool(int destination)> has_usable_endpoint;
    std::function<void(std::uint64_t number)> on_dead_lettered;
  };
  struct Counters {
    std::int64_t kept = 0, owed_dropped = 0, evicted = 0, transfers_failed = 0, resends = 0, delivered = 0,
                 kept_again = 0, handed_in_again = 0, stores_begun_anew = 0;
  };

  // `wake_after`: calls Turn after that time; a new call replaces the last.
  DeadLetterManager(Settings settings, JobRunner& jobs, MessageTable& ledger, const Clock& clock, Logger& log,
                    std::function<void(Duration)> wake_after);

  // `journal_lost`: the journal was empty at the start. Resends begin once the store was reconciled.
  void Start(Pipeline chain, bool journal_lost);
  void Stop() { stopping_ = true; }
  // New rules; their text names them.
  void SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text);
  void RunDueWork();
  // By an operator's hand something became due.
  void ScheduleReview();

  const Counters& counters() const { return counters_; }
  std::size_t pending_transfers() const { return owed_.size() + in_transfer_.size(); }
  int redrives_in_flight() const { return planner_.in_flight_count(); }
  bool store_failing() const { return failures_ > 0; }
  const std::shared_ptr<const ReviewSettings>& review() const { return settings_.review; }

  void OnAccepted(const Message& message) override;
  bool IsBeingRedriven(const Request& request) const override;
  void OnCallCompleted(const Message& message, const CallResult& result) override;
  void BeforeCompletion(Message& message, enum FinalStatus end) override;
  void TakeOver(const Message& message) override;
  bool MayContinueAfterRestart(const Message& message) override;

 private:
  struct Waiting {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    double worth = 0;
    bool resent = false;
    Time not_before{0};
  };
  const std::string& ClassName(const Message& message) const;
  double WorthOf(const Message& message) const;
  Database::Entry EntryOf(const Message& message, const Waiting& waiting) const;
  void DropOwed();
  void Reconcile();
  void Transfer();
  void Transferred(const JobError* error, const Database::Evicted& evicted);
  void TellHandedIn();
  void Fetch();
  void Fetched(const JobError* error, Database::Candidates due);
  void Claim(std::vector<Database::Candidate> granted);
  void Claimed(const Database::Candidate& candidate, std::optional<DeadLetter> kept);
  void GiveBack(const DeadLetterId& id, int destination, Time not_before);
  void Failed(const JobError& error);
  void WakeAt(Time at);
  RedrivePlanner::Load Load() const;

  const Settings settings_;
  JobRunner& jobs_;
  MessageTable& ledger_;
  const Clock& clock_;
  Logger& log_;
  std::function<void(Duration)> wake_after_;
  Pipeline chain_;
  RedrivePlanner planner_;
  Counters counters_;

  std::deque<Waiting> owed_;
  std::vector<Waiting> in_transfer_;
  std::set<std::uint64_t> known_owed_;
  std::size_t owed_bytes_ = 0;
  int failures_ = 0;  // jobs in a row
  Time retry_at_{0};

  bool started_ = false, reconciled_ = false, reconciling_ = false, stopping_ = false, lost_ = false;
  std::shared_ptr<const RuleSet> rules_, next_rules_;
  std::uint64_t next_hash_ = 0;
  std::int64_t generation_ = 0;
  bool fetching_ = false;
  int claiming_ = 0;
  Time fetch_at_{0};
  std::map<int, Time> blocked_;  // destinations, until
  std::map<std::string, Database::Pace> paces_;

  std::unordered_set<std::uint64_t> identities_;  // of all that may be sent again
  struct HandedIn {
    std::uint64_t identity = 0, number = 0;
  };
  std::vector<HandedIn> handed_in_;  // to be told to the store
  bool telling_ = false;
  std::multiset<std::uint64_t> resending_;
  std::set<std::uint64_t> forbidden_;  // numbers, while a restart ends them
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_MANAGER_H_
