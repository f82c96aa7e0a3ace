// The state that the parts of the dead-letter manager share: settings, services and counters. The manager
// owns it. It is used on the event loop only, except for `ManagerSettings::review`.
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
  std::shared_ptr<const ReviewSettings> review;  // also read on the store's threads
  RedrivePlanner::Limits limits;
  bool include_undeliverable = true, include_deferred = false;  // which messages are stored
  std::size_t max_pending_bytes = 1'000'000;                    // limit for messages that wait for the store
  std::uint64_t seed = 0;                                       // seeds the jitter of the backoff
};

// Totals since the start of the process.
struct ManagerCounters {
  std::int64_t stored = 0;              // stored for the first time
  std::int64_t transfers_given_up = 0;  // discarded because too many messages waited for the store
  std::int64_t evicted = 0;             // removed from the store for their age or for space
  std::int64_t store_failures = 0;      // failed jobs
  std::int64_t redrives = 0;            // redrives that were accepted
  std::int64_t delivered = 0;           // redrives that completed as delivered or expired
  std::int64_t redrives_failed = 0;     // redrives that completed with any other status
  std::int64_t resubmitted = 0;         // dead letters that their clients resubmitted
  std::int64_t files_replaced = 0;      // damaged or missing database files that were replaced
};

// The functions of the message pipeline that the manager calls.
struct ManagerPipeline {
  std::function<bool(Message)> accept_redrive;  // returns false if the pipeline can't accept it now
  std::function<bool(int destination)> has_usable_endpoint;
  std::function<void(std::uint64_t number)> on_dead_lettered;  // the message was stored or discarded
};

struct ManagerContext {
  const ManagerSettings settings;
  JobRunner& jobs;
  MessageTable& messages;
  const Clock& clock;
  Logger& log;
  // Callbacks that the manager sets. A part calls them in these cases:
  std::function<void(const JobError&)> on_store_error;  // a job failed
  std::function<void()> request_reconciliation;  // it is unknown which messages the store has as claimed
  std::function<void()> run_due_work;            // work may have become due
  ManagerPipeline pipeline = {};
  ManagerCounters counters = {};

  // Returns a placeholder for a class that is no longer configured.
  const std::string& ClassNameOf(const Message& message) const;
  // Returns 0 for a class that is no longer configured.
  double PriorityWeightOf(const Message& message) const;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_MANAGER_CONTEXT_H_
