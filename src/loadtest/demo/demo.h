// `sagetally-loadtest try`: everything that is needed to see sagetally work, on loopback, in one command.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_

#include <functional>
#include <iosfwd>
#include <string>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

struct TryOptions {
  bool two_levels = false;
  double seconds = 20, rate = 120;  // of messages a second at the height of it
  bool outage = true;
  std::uint64_t seed = 1;
  int forwarders = 2, planners = 2;   // with two levels
  std::string program;                // empty: `sagetally` beside this one
  std::string output = "try-report";  // a folder
  std::function<bool()> stop;         // true: it is broken off
};

// Throws std::runtime_error if a part doesn't start; its log is named.
Result Try(const TryOptions& options, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_
