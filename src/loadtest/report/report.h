// The report of one run or several: one self-contained HTML page with plots, and the same as JSON.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_REPORT_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_REPORT_H_

#include <string>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// Writes report.html, report.json, the plots and their data into `folder`, which is created if need be.
// Throws std::runtime_error if it can't be written.
void WriteReport(const std::vector<RunResult>& runs, const std::string& folder);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_REPORT_H_
