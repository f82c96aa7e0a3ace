// What the dispatch policy's actions need of the event loop. Implemented by the dispatcher; called on the
// loop's thread.
#ifndef SAGETALLY_SRC_CORE_SCHEDULER_H_
#define SAGETALLY_SRC_CORE_SCHEDULER_H_

#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Calls MessagePipeline::RunPolicy() once, after the events of this round of the loop are queued.
  virtual void SchedulePolicyRun() = 0;
  // Queues a TimerFired event after `delay`. There is one timer: a new call replaces the last.
  virtual void ScheduleTimer(Duration delay) = 0;
  // Sends `body` to all other dispatchers.
  virtual void SendGossip(const std::string& body) = 0;
  // Writes a line of the policy's to the log.
  virtual void WriteLogLine(const std::string& line) = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_SCHEDULER_H_
