// The plain-text tables that end a run on the terminal; the HTML report shows the same text.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RESULT_TABLE_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RESULT_TABLE_H_

#include <iosfwd>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// Prints messages by outcome, latencies, the faults' impact, violated rules and why the run is not valid.
void PrintResult(const RunResult& result, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RESULT_TABLE_H_
