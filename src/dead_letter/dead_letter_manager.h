// The dead-letter manager transfers undelivered messages to the store, redrives them by rules alongside live
// traffic, and records the results. It is used on the event loop only; the store's jobs run elsewhere
// (storage/job_runner.h). Its parts are transfer_queue.h, redrive_loop.h, resubmission_tracker.h,
// reconciliation.h and store_health.h.
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

  // `schedule_wakeup` must arrange that RunDueWork is called after the given time; each call to it replaces
  // the previous one. The references must outlive the manager.
  DeadLetterManager(Settings settings, JobRunner& jobs, MessageTable& messages, const Clock& clock,
                    Logger& log, std::function<void(Duration)> schedule_wakeup);
  DeadLetterManager(const DeadLetterManager&) = delete;
  DeadLetterManager& operator=(const DeadLetterManager&) = delete;

  // Called once, when the pipeline can accept messages. `journal_lost` says that the journal was empty at
  // startup. Redrives begin once the store has been reconciled.
  void Start(Pipeline pipeline, bool journal_lost);
  // Starts no further redrives; completed messages are still transferred to the store.
  void Stop() { redrives_.Stop(); }
  // `text` is the content of the rule file; its hash lets the store recognize unchanged rules.
  void SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text);
  // Starts all work that is due, and schedules the next wakeup.
  void RunDueWork();
  // Called after an operator changed something in the store.
  void ScheduleReview();

  const Counters& counters() const { return context_.counters; }
  // Number of messages that wait for the store or are being stored.
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
  // Numbers of the messages that must not be sent again after the restart and have not completed yet.
  std::set<std::uint64_t> forbidden_after_restart_;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_DEAD_LETTER_MANAGER_H_
