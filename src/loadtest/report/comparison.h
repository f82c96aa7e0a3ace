// The comparison of two sets of runs, metric by metric. Called by the `compare` command; no state, no
// threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_COMPARISON_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_COMPARISON_H_

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// Compares set `b` with set `a`. Returns for each metric both means, the ratio b/a with its 95% interval
// (null if there is none), and a verdict.
nlohmann::json Compare(const std::vector<RunResult>& a, const std::vector<RunResult>& b);

// Prints the value that Compare() returned as a table.
void PrintComparison(const nlohmann::json& comparison, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_COMPARISON_H_
