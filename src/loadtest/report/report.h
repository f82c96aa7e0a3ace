// The report of one or more runs: one self-contained HTML page with plots, and the same figures as JSON.
// Called by the `report` and `try` commands; no threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_REPORT_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_REPORT_H_

#include <string>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// Writes report.html, report.json, the plots and their data into `folder`, which is created if it doesn't
// exist. Throws std::runtime_error if a file can't be written.
void WriteReport(const std::vector<RunResult>& runs, const std::string& folder);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_REPORT_H_
