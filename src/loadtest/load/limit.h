// Searches for the highest rate that a target holds.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_LIMIT_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_LIMIT_H_

#include <functional>
#include <string>
#include <vector>

namespace sagetally::loadtest {

struct Probe {
  double rate = 0, seconds = 0;
  bool held = false;
  std::string why;  // not held
  double p99_ms = 0, lag_p99_ms = 0;
};

struct LimitOptions {
  double from = 100, to = 100'000;  // messages a second
  double within = 0.05;             // the answer's relative width
  double probe_s = 5, confirm_s = 60;
};

struct Limit {
  double rate = 0;  // the highest that was held for `confirm_s`; 0: none
  std::vector<Probe> probes;
};

// Doubles from `from` until a probe is not held, halves the gap in the log until it is narrow, then confirms
// over the long time, going down by `within` while that fails. `run` offers a rate for some seconds and
// judges.
Limit FindLimit(const LimitOptions& options, const std::function<Probe(double rate, double seconds)>& run);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_LIMIT_H_
