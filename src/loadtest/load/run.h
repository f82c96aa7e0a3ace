// A whole run of the load generator: one thread draws the plan, others send it, everything is recorded.
// Called by the commands `load`, `limit` and `try`.
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
  std::string record;          // a file for the plan as it was offered, see trace.h; empty: none
  std::function<bool()> stop;  // returns true to interrupt the run; called a few times a second
  // Called a few times a second, as `stop` on the calling thread. `seconds`: since the run's start.
  std::function<void(double seconds, const Progress&)> progress;
};

struct RunRecords {
  std::uint32_t run = 0;  // random; tells the submissions of this run from all others
  std::int64_t start_us = 0;
  std::int64_t ended_us = 0;  // when observation stopped
  bool partial = false;       // interrupted before its end
  std::int64_t opened_connections = 0;
  std::int64_t plan_underruns = 0;
  std::vector<MessageRecord> records;
  std::vector<SenderThreadReport> threads;
};

// The plan of `scenario`: drawn, or read from its trace.
std::unique_ptr<PlanSource> OpenPlanSource(const Scenario& scenario);

// Raises the soft limit of open files to `count` connections if need be. Throws std::runtime_error that names
// the limits if that is not allowed.
void EnsureDescriptorLimit(std::int64_t count);

// Runs the load and returns once it is over. Throws std::runtime_error if the scenario needs more connections
// or memory than allowed, or if its trace can't be read.
RunRecords RunLoad(const Scenario& scenario, const RunOptions& options = RunOptions());

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_RUN_H_
