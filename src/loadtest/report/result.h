// The result of one run: its summary, the generator's own state, and whether the figures can be trusted.
//
// Made once a run is over; result_file.h stores it, result_table.h prints it, report.h and comparison.h read
// it.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_

#include <string>
#include <vector>

#include "loadtest/load/run.h"
#include "loadtest/report/run_summary.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

struct RunResult {
  std::string name;
  double seconds = 0;                        // how long messages were offered
  bool partial = false;                      // interrupted before its end
  std::vector<std::string> invalid_reasons;  // why the generator itself distorted the run; empty: it did not
  RunSummary summary;
  std::vector<SenderThreadReport> threads;
  std::int64_t opened_connections = 0;
  std::int64_t plan_underruns = 0;  // times that a sender had to wait for its plan
  std::vector<FaultSpan> faults;    // of the timeline, relative to the run's start
  bool outcomes_observed = false;   // stub servers reported deliveries and notices
  bool valid() const { return invalid_reasons.empty(); }
};

// `timeline`: relative to the run's start. See Summarize() for the others.
RunResult MakeResult(const std::string& name, const Scenario& scenario, const RunRecords& run,
                     std::span<const Observation> observations, bool outcomes_observed,
                     const Timeline& timeline = Timeline());

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RESULT_H_
