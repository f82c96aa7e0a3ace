// Monitors the load generator itself: a sending thread's CPU time, how long it waited for a core, and clock
// jumps.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_GENERATOR_MONITOR_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_GENERATOR_MONITOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "loadtest/load/scenario.h"

namespace sagetally::loadtest {

class LatencyHistogram;

struct SenderThreadReport {
  double wall_seconds = 0;
  double cpu_seconds = 0;
  double run_queue_seconds =
      0;                // waited for a core, from the kernel's scheduler; 0 if it doesn't report that
  int clock_jumps = 0;  // of the calendar clock against the monotonic one, by over 50 ms
};

// Monitors the thread that creates it; all calls come from that thread.
class GeneratorMonitor {
 public:
  GeneratorMonitor();
  // Looks for a clock jump since the last sample.
  void Sample();
  // Since creation.
  SenderThreadReport Report();

 private:
  std::int64_t start_us_;
  std::int64_t offset_us_;  // of the calendar clock from the monotonic one
  double cpu_seconds_;
  double run_queue_seconds_;
  int jumps_ = 0;
};

// Why the generator itself distorted a run; empty if it did not. `lag`: of each send behind its intended
// time.
std::vector<std::string> FindInvalidityReasons(const ValidityLimits& limits, const LatencyHistogram& lag,
                                               const std::vector<SenderThreadReport>& threads);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_GENERATOR_MONITOR_H_
