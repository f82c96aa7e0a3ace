// The metrics by which runs are reported and compared. Each is one number of a run. Used by the report and
// the comparison; no threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_METRICS_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_METRICS_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "loadtest/report/result.h"
#include "loadtest/report/statistics.h"

namespace sagetally::loadtest {

struct Metric {
  const char* name;                   // name in tables and files, with the unit
  double (*value)(const RunResult&);  // computes the metric of a run
  bool less_is_better;                // whether a smaller value is the better one
};

// All metrics, in the order of the tables' rows.
extern const std::span<const Metric> kMetrics;

// The metric of each run, in the order of `runs`.
std::vector<double> MetricValues(const Metric& metric, const std::vector<RunResult>& runs);

// Returns null if there is no interval.
nlohmann::json IntervalToJson(const std::optional<Interval>& interval);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_METRICS_H_
