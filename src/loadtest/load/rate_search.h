// Searches for the highest rate that a target sustains. It does no I/O; its caller offers the load. Used by
// the command `limit`.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_RATE_SEARCH_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_RATE_SEARCH_H_

#include <functional>
#include <string>
#include <vector>

namespace sagetally::loadtest {

// The result of a trial at a fixed rate.
struct RateProbe {
  double rate = 0;  // messages per second
  double seconds = 0;
  bool is_sustained = false;
  std::string reason;     // why the rate is not sustained
  double p99_ms = 0;      // 99th percentile of the latency
  double lag_p99_ms = 0;  // 99th percentile of the generator's own lag
};

struct RateSearchOptions {
  double from = 100;             // lowest rate, in messages per second
  double to = 100'000;           // highest rate, in messages per second
  double relative_width = 0.05;  // relative precision of the result
  double probe_seconds = 5;      // duration of each probe of the search
  double confirm_seconds = 60;   // duration of each probe that confirms the result
};

struct RateSearchResult {
  double rate = 0;  // highest rate that was sustained for `confirm_seconds`, or 0
  std::vector<RateProbe> probes;
};

// Doubles the rate, starting with `from`, until a probe is not sustained or `to` is reached. Then bisects the
// interval between the last two rates on a logarithmic scale, until its ends differ by at most
// `relative_width`. At last confirms the result with probes of `confirm_seconds`, and lowers the rate by
// `relative_width` after each one that fails. `run` offers a rate for the given time and judges whether the
// target sustained it.
RateSearchResult FindHighestSustainedRate(const RateSearchOptions& options,
                                          const std::function<RateProbe(double rate, double seconds)>& run);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_RATE_SEARCH_H_
