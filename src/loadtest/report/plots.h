// Plots by gnuplot, as SVG and PNG.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_

#include <string>
#include <vector>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

struct Plot {
  std::string name, title;  // files NAME.svg and NAME.png
  bool made = false;
};

// Writes data, scripts and plots of one run into `folder`; without gnuplot, plots are not made and the rest
// is there. Throws std::runtime_error if the folder can't be written.
std::vector<Plot> DrawPlots(const Result& result, const std::string& folder, const std::string& prefix);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_PLOTS_H_
