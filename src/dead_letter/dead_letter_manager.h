// The dead-letter manager: transfers messages that ended undelivered to the store, redrives them by rules
// beside live traffic, and records the results. It lives on the event loop; the store's jobs run elsewhere.
// Its parts are transfer_queue.h, redrive_loop.h, resubmission_tracker.h, reconciliation.h and
// store_health.h.
#ifndef SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_MANAGER_H_
#define SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_MANAGER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/message_table.h"
#include "core/ports.h"
#include "dead_letter/manager_context.h"
#include "dead_letter/reconciliation.h"
#include "dead_letter/redrive_loop.h"
#include "dead_letter/resubmission_tracker.h"
#include "dead_letter/storage/worker.h"
#include "dead_letter/store_health.h"
#include "dead_letter/transfer_queue.h"
#include "logging/logger.h"

namespace sagetally::dead_letter {

class DeadLetterManager : public DeadLetterSink {
 public:
  using Settings = ManagerSettings;
  using Pipeline = ManagerPipeline;
  using Counters = ManagerCounters;

  // `schedule_wakeup`: calls RunDueWork after that time; a new call replaces the last.
  DeadLetterManager(Settings settings, JobRunner& jobs, MessageTable& messages, const Clock& clock,
                    Logger& log, std::function<void(Duration)> schedule_wakeup);
  DeadLetterManager(const DeadLetterManager&) = delete;
  DeadLetterManager& operator=(const DeadLetterManager&) = delete;

  // `journal_lost`: the journal was empty at the start. Redrives begin once the store is reconciled.
  void Start(Pipeline pipeline, bool journal_lost);
  // No redrive is started from now on; messages are still transferred.
  void Stop() { redrives_.Stop(); }
  // `text`: of the rule file, by which the store knows the rules again.
  void SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text);
  void RunDueWork();
  // An operator changed something in the store.
  void ScheduleReview();

  const Counters& counters() const { return context_.counters; }
  // Messages that wait for the store, or are on their way to it.
  std::size_t pending_transfers() const { return transfers_.size(); }
  int redrives_in_flight() const { return redrives_.in_flight_count(); }
  bool store_failing() const { return health_.is_failing(); }
  const std::shared_ptr<const ReviewSettings>& review() const { return context_.settings.review; }

  // DeadLetterSink
  void OnAccepted(const Message& message) override;
  bool IsBeingRedriven(const Request& request) const override;
  void OnCallCompleted(const Message& message, const CallResult& result) override;
  void BeforeCompletion(Message& message, enum FinalStatus status) override;
  void Store(const Message& message) override;
  bool MayContinueAfterRestart(const Message& message) override;

 private:
  void AdoptPending(const Message& message);
  bool IsToBeStored(const Message& message, FinalStatus status) const;
  void OnStoreError(const JobError& error);
  void ScheduleWakeupAt(Time time);

  ManagerContext context_;
  std::function<void(Duration)> schedule_wakeup_;
  StoreHealth health_;
  ResubmissionTracker resubmissions_;
  TransferQueue transfers_;
  RedriveLoop redrives_;
  Reconciliation reconciliation_;
  bool is_started_ = false;
  // Numbers of messages that may not continue after the restart, until they have ended.
  std::set<std::uint64_t> forbidden_after_restart_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_MANAGER_H_
