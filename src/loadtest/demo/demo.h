// The demonstration: all that is needed to see sagetally work, on loopback, in one command
// (`sagetally-loadtest try`).
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

struct DemoOptions {
  bool two_levels = false;  // forwarders and planners instead of one dispatcher
  double seconds = 20;
  double rate = 120;   // messages a second at the peak
  bool outage = true;  // an outage of one partner and errors of another
  std::uint64_t seed = 1;
  int forwarders = 2;                 // with two levels
  int planners = 2;                   // with two levels
  std::string program;                // empty: `sagetally` beside this program
  std::string output = "try-report";  // folder of the report
  std::function<bool()> stop;         // returns true to interrupt the demonstration
};

// Starts stub servers and nodes, offers a load to them, waits for the final outcome of each message, stops
// the nodes, writes the report and prints the result to `out`. Throws std::runtime_error if a node doesn't
// start; the message holds the end of its log.
RunResult RunDemo(const DemoOptions& options, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_
