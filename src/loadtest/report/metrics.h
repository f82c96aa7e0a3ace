// The metrics by which runs are reported and compared, each one number of a run.
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
  const char* name;  // in tables and files, with its unit
  double (*value)(const RunResult&);
  bool less_is_better;
};

// All metrics, in the order of tables.
extern const std::span<const Metric> kMetrics;

// The metric of each run, in the order of `runs`.
std::vector<double> MetricValues(const Metric& metric, const std::vector<RunResult>& runs);

// null if there is no interval.
nlohmann::json IntervalToJson(const std::optional<Interval>& interval);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_METRICS_H_
