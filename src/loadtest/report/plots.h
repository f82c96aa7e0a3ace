// Plots of one run, drawn by gnuplot as SVG and PNG. Called by the report; gnuplot runs as a child process.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_

#include <string>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

struct Plot {
  std::string name;    // name of the files NAME.svg and NAME.png, with the prefix
  std::string title;   // plain text
  bool drawn = false;  // whether gnuplot drew it
};

// Writes data, scripts and plots of one run into `folder`; file names begin with `prefix`. If gnuplot
// can't be run, `drawn` is false and only data and scripts are written. Throws std::runtime_error if `folder`
// can't be written.
std::vector<Plot> DrawPlots(const RunResult& result, const std::string& folder, const std::string& prefix);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_
