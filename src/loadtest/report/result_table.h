// The plain-text tables that are printed after a run. The HTML report contains the same text. No threads.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_RESULT_TABLE_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_RESULT_TABLE_H_

#include <iosfwd>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

// Prints the messages by outcome, latencies, the impact of faults, violated rules, and the reasons why the
// run is not valid.
void PrintResult(const RunResult& result, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_RESULT_TABLE_H_
