// Plays one soak schedule with real dispatcher processes on loopback, and judges it.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_RUN_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "loadtest/soak/soak_judge.h"
#include "loadtest/soak/soak_schedule.h"

namespace sagetally::loadtest {

struct SoakOptions {
  std::string program;         // the sagetally to start
  std::string shim;            // the fault shim's library; needed if a schedule has faults of system calls
  std::function<bool()> stop;  // asked now and then whether to end early; may be empty
};

struct SoakResult {
  std::int64_t requests = 0;
  std::int64_t answered = 0;
  std::int64_t injected_faults = 0;  // by the shim
  std::vector<SoakBreak> breaks;
  std::string folder;  // logs and files of the run; removed unless a rule was broken
};

// Throws std::runtime_error if a process does not start, or the shim is missing.
SoakResult RunSoak(const SoakSchedule& schedule, const SoakOptions& options);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_RUN_H_
