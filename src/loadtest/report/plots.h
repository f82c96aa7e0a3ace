// Plots of one run by gnuplot, as SVG and PNG.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_

#include <string>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

struct Plot {
  std::string name;   // of its files NAME.svg and NAME.png
  std::string title;  // plain text
  bool drawn = false;
};

// Writes data, scripts and plots of one run into `folder`; file names begin with `prefix`. Without gnuplot
// the plots are missing (`drawn` is false) and the rest is written. Throws std::runtime_error if `folder`
// can't be written.
std::vector<Plot> DrawPlots(const RunResult& result, const std::string& folder, const std::string& prefix);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_
