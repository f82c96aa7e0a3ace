// One self-contained page for one run or several, and the comparison of two sets of runs.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_HTML_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_HTML_H_

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// Writes report.html, report.json, plots and their data into `folder`. Throws std::runtime_error.
void WriteReport(const std::vector<Result>& runs, const std::string& folder);

// How `b` stands to `a`: by figure, the means, their ratio and its interval.
nlohmann::json Compare(const std::vector<Result>& a, const std::vector<Result>& b);
void PrintComparison(const nlohmann::json& comparison, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_HTML_H_
