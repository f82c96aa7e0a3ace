// The interface to the event loop: runs and timers of the dispatch policy, gossip and log lines. Implemented
// by the dispatcher; called by the pipeline on the event loop's thread.
#ifndef SAGETALLY_SRC_CORE_SCHEDULER_H_
#define SAGETALLY_SRC_CORE_SCHEDULER_H_

#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Schedules one call of MessagePipeline::RunPolicy(), after the events of the current iteration of the
  // event loop have been queued.
  virtual void SchedulePolicyRun() = 0;
  // Queues a TimerFired event after `delay`. There is only one timer: each call replaces the previous one.
  virtual void ScheduleTimer(Duration delay) = 0;
  // Sends `body` to all other dispatchers.
  virtual void SendGossip(const std::string& body) = 0;
  // Writes a line from the policy to the log.
  virtual void WriteLogLine(const std::string& line) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_SCHEDULER_H_
