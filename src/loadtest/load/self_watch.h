// Watches the generator itself: a thread's CPU time, how long it waited for a core, and jumps of the clock.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_SELF_WATCH_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_SELF_WATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "loadtest/load/scenario.h"

namespace sagetally::loadtest {

class LatencyHistogram;

struct SelfReport {
  double wall_s = 0, cpu_s = 0;
  double run_queue_s = 0;  // waited for a core, as the kernel's scheduler counts it; 0 where it doesn't tell
  int clock_jumps = 0;     // of the calendar clock against the monotonic one, by over 50 ms
};

// Of the thread that makes and asks it.
class SelfWatch {
 public:
  SelfWatch();
  void Sample();  // looks for a clock jump
  SelfReport Report();

 private:
  std::int64_t start_us_, offset_us_;
  double cpu_s_, run_queue_s_;
  int jumps_ = 0;
};

// Why a run can't be trusted; empty if it can. `lag`: of each send behind its intent.
std::vector<std::string> Invalid(const Validity& limits, const LatencyHistogram& lag,
                                 const std::vector<SelfReport>& threads);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_SELF_WATCH_H_
