// A whole run of the load generator. One thread draws the plan, other threads send its messages, and each
// message is recorded. Called by the commands `load`, `limit` and `try`.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_RUN_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_RUN_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/load/sender.h"

namespace sagetally::loadtest {

struct RunOptions {
  // The file to which the offered plan is written, see trace.h. If it is empty, the plan is not written.
  std::string record;
  // Returns true to interrupt the run. It is called about ten times per second on the thread that called
  // RunLoad.
  std::function<bool()> stop;
  // Called about ten times per second on the thread that called RunLoad. `seconds` is the time since the
  // run's start.
  std::function<void(double seconds, const Progress&)> progress;
};

// What was recorded in a run. Times are in microseconds of the monotonic clock.
struct RunRecords {
  std::uint32_t run = 0;  // random number that distinguishes the submissions of this run from those of others
  std::int64_t start_us = 0;
  std::int64_t ended_us = 0;  // when all senders had ended
  bool partial = false;       // whether the run was interrupted
  std::int64_t opened_connections = 0;
  std::int64_t plan_underruns = 0;  // see Sender::plan_underruns
  std::vector<MessageRecord> records;
  std::vector<SenderThreadReport> threads;
};

// Returns the plan of `scenario`, which is read from its trace or, if it has none, drawn.
std::unique_ptr<PlanSource> OpenPlanSource(const Scenario& scenario);

// Raises the soft limit of open files if it is too low for `count` connections. Throws std::runtime_error
// that names the limits if the hard limit is too low.
void EnsureDescriptorLimit(std::int64_t count);

// Runs the load and returns once it is over. Throws std::runtime_error if the scenario needs more connections
// than the process may open or more messages than its max_messages, or if its trace can't be read.
RunRecords RunLoad(const Scenario& scenario, const RunOptions& options = RunOptions());

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_RUN_H_
