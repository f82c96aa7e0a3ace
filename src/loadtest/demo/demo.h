// The demonstration (`sagetally-loadtest try`): runs stub servers, dispatcher processes and a load on
// loopback with one command. Called by the command's main thread.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>

#include "loadtest/report/result.h"

namespace sagetally::loadtest {

struct DemoOptions {
  bool two_levels = false;            // start forwarders and planners instead of one dispatcher
  double seconds = 20;                // how long messages are offered
  double rate = 120;                  // messages a second at the peak
  bool outage = true;                 // with an outage of one partner and errors of another
  std::uint64_t seed = 1;             // of all random numbers
  int forwarders = 2;                 // number of forwarders with two levels
  int planners = 2;                   // number of planners with two levels
  std::string program;                // path of sagetally; if empty, `sagetally` beside this program
  std::string output = "try-report";  // folder of the report
  std::function<bool()> stop;         // polled during the run; returns true to interrupt it; may be empty
};

// Starts stub servers and nodes, offers a load to them, waits for the final outcome of each message, stops
// the nodes, writes the report and prints the result to `out`. Throws std::runtime_error if a node doesn't
// start; the message then contains the end of the node's log.
RunResult RunDemo(const DemoOptions& options, std::ostream& out);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_DEMO_H_
