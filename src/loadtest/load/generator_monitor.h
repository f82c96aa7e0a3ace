// Monitors the load generator itself: the CPU time of each sending thread, the time for which it waited for a
// core, and jumps of the system clock. The results show whether the generator distorted a measurement.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_GENERATOR_MONITOR_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_GENERATOR_MONITOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "loadtest/load/scenario.h"

namespace sagetally::loadtest {

class LatencyHistogram;

// What a sending thread used while it ran.
struct SenderThreadReport {
  double wall_seconds = 0;
  double cpu_seconds = 0;
  // The time for which the thread waited for a core, as the kernel's scheduler reports it. It is 0 if the
  // kernel doesn't report it.
  double run_queue_seconds = 0;
  // How often the system clock moved against the monotonic clock by more than 50 ms between two samples.
  int clock_jumps = 0;
};

// Monitors the thread that creates it. That thread makes all calls.
class GeneratorMonitor {
 public:
  GeneratorMonitor();
  // Checks whether the system clock has jumped since the last sample.
  void Sample();
  // Takes a sample and returns the totals since the monitor was created.
  SenderThreadReport Report();

 private:
  std::int64_t start_us_;
  std::int64_t offset_us_;  // of the system clock from the monotonic clock, at the last sample
  double cpu_seconds_;
  double run_queue_seconds_;
  int clock_jumps_ = 0;
};

// Returns the reasons why the generator itself distorted a run, or nothing if it did not. `lag` holds the
// delay of each send after its intended time, in microseconds.
std::vector<std::string> FindInvalidityReasons(const ValidityLimits& limits, const LatencyHistogram& lag,
                                               const std::vector<SenderThreadReport>& threads);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_GENERATOR_MONITOR_H_
