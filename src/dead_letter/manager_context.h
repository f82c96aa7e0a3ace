// What the parts of the dead-letter manager share: its settings, the services that it uses and its counters.
// Owned by the manager; everything is used on the event loop only.
#ifndef SAGETALLY_SRC_DEAD_LETTER_MANAGER_CONTEXT_H_
#define SAGETALLY_SRC_DEAD_LETTER_MANAGER_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/message_table.h"
#include "dead_letter/redrive_planner.h"
#include "dead_letter/redrive_review.h"
#include "dead_letter/storage/job_runner.h"
#include "logging/logger.h"
#include "time/clock.h"

namespace sagetally::dead_letter {

struct ManagerSettings {
  std::string node;
  std::shared_ptr<const ReviewSettings> review;  // read by the store's threads too
  RedrivePlanner::Limits limits;
  bool include_undeliverable = true, include_deferred = false;  // which messages are stored
  std::size_t max_pending_bytes = 1'000'000;                    // of messages that wait for the store
  std::uint64_t seed = 0;                                       // of the jitter
};

struct ManagerCounters {
  std::int64_t stored = 0;              // stored for the first time
  std::int64_t transfers_given_up = 0;  // given up while the store failed
  std::int64_t evicted = 0;             // by the store
  std::int64_t store_failures = 0;      // failed jobs
  std::int64_t redrives = 0;            // redrives that were accepted
  std::int64_t delivered = 0;           // redrives that ended delivered
  std::int64_t redrives_failed = 0;     // redrives that ended otherwise
  std::int64_t resubmitted = 0;         // messages that their clients resubmitted
  std::int64_t files_replaced = 0;      // damaged or vanished files
};

// The stages of message processing, as far as the manager needs them.
struct ManagerPipeline {
  std::function<bool(Message)> accept_redrive;  // false: can't take it now
  std::function<bool(int destination)> has_usable_endpoint;
  std::function<void(std::uint64_t number)> on_dead_lettered;  // the store has it, or it is given up
};

struct ManagerContext {
  const ManagerSettings settings;
  JobRunner& jobs;
  MessageTable& messages;
  const Clock& clock;
  Logger& log;
  // Set by the manager:
  std::function<void(const JobError&)> on_store_error;  // a job failed
  std::function<void()> request_reconciliation;         // what is claimed in the store is not known any more
  std::function<void()> run_due_work;                   // something may have become due
  ManagerPipeline pipeline = {};
  ManagerCounters counters = {};

  const std::string& ClassNameOf(const Message& message) const;
  // 0 for a class that is not configured any more.
  double PriorityWeightOf(const Message& message) const;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_MANAGER_CONTEXT_H_
