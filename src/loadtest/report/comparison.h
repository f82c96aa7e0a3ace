// The comparison of two sets of runs, metric by metric.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_COMPARISON_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_COMPARISON_H_

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// Compares `b` with `a`: for each metric both means, their ratio with its interval, and a verdict.
nlohmann::json Compare(const std::vector<RunResult>& a, const std::vector<RunResult>& b);

// Prints what Compare returned as a table.
void PrintComparison(const nlohmann::json& comparison, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_COMPARISON_H_
