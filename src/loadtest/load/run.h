// A whole run: the plan drawn on one thread, sent by others, everything recorded.
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
  std::string record;          // a file for the plan as it was offered; empty: none
  std::function<bool()> stop;  // true: the run is broken off
  std::function<void(double seconds, const Progress&)>
      progress;  // a few times a second, on the calling thread
};

struct RunRecords {
  std::uint32_t run = 0;
  std::int64_t start_us = 0, over_us = 0;
  bool partial = false;  // broken off before its end
  std::int64_t connections_opened = 0, waits_for_plan = 0;
  std::vector<Record> records;
  std::vector<SelfReport> threads;
};

// What the scenario asks for, drawn or read from its trace.
std::unique_ptr<Source> SourceOf(const Scenario& scenario);

// Raises the soft limit of descriptors if need be. Throws std::runtime_error that says how many are missing.
void NeedDescriptors(std::int64_t count);

// Throws std::runtime_error before anything is sent if descriptors or memory won't do.
RunRecords RunLoad(const Scenario& scenario, const RunOptions& options = RunOptions());

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_RUN_H_
