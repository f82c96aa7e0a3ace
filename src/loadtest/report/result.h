// The result of one run: its summary, the generator's own state, and whether the figures can be trusted.
//
// A result is made once a run is over. result_file.h stores it, result_table.h prints it, report.h and
// comparison.h read it. Plain values, no threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_

#include <string>
#include <vector>

#include "loadtest/load/run.h"
#include "loadtest/report/run_summary.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

struct RunResult {
  std::string name;                          // shown in tables and reports
  double seconds = 0;                        // duration for which messages were offered
  bool partial = false;                      // whether the run was interrupted before its end
  std::vector<std::string> invalid_reasons;  // how the generator distorted the run; empty if it did not
  RunSummary summary;
  std::vector<SenderThreadReport> threads;
  std::int64_t opened_connections = 0;  // by all senders
  std::int64_t plan_underruns = 0;      // how often a sender had to wait for its plan
  std::vector<FaultSpan> faults;        // the fault timeline, relative to the run's start
  bool outcomes_observed = false;       // whether stub servers reported deliveries and notices
  // Whether the generator did not distort the run.
  bool valid() const { return invalid_reasons.empty(); }
};

// Builds the result of a finished or interrupted run. The times of `timeline` are relative to the run's
// start. See Summarize() for `observations` and `outcomes_observed`.
RunResult MakeResult(const std::string& name, const Scenario& scenario, const RunRecords& run,
                     std::span<const Observation> observations, bool outcomes_observed,
                     const FaultTimeline& timeline = FaultTimeline());

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_
