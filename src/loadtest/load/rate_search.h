// Searches for the highest rate that a target sustains. No I/O of its own.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_RATE_SEARCH_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_RATE_SEARCH_H_

#include <functional>
#include <string>
#include <vector>

namespace sagetally::loadtest {

// One trial at a fixed rate.
struct RateProbe {
  double rate = 0;  // messages a second
  double seconds = 0;
  bool is_sustained = false;
  std::string reason;  // why it is not sustained
  double p99_ms = 0;
  double lag_p99_ms = 0;
};

struct RateSearchOptions {
  double from = 100;             // messages a second
  double to = 100'000;           // messages a second
  double relative_width = 0.05;  // of the result
  double probe_seconds = 5;
  double confirm_seconds = 60;
};

struct RateSearchResult {
  double rate = 0;  // the highest that was sustained for `confirm_seconds`; 0: none
  std::vector<RateProbe> probes;
};

// Doubles the rate from `from` until a probe is not sustained, bisects the logarithmic gap down to
// `relative_width`, and confirms over the long time, going down by `relative_width` while that fails. `run`
// offers a rate for some seconds and judges.
RateSearchResult FindHighestSustainedRate(const RateSearchOptions& options,
                                          const std::function<RateProbe(double rate, double seconds)>& run);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_RATE_SEARCH_H_
