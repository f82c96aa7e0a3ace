#include "loadtest/load/rate_search.h"

#include <algorithm>
#include <cmath>

namespace sagetally::loadtest {

RateSearchResult FindHighestSustainedRate(const RateSearchOptions& options,
                                          const std::function<RateProbe(double rate, double seconds)>& run) {
  RateSearchResult result;
  const auto is_sustained = [&](double rate, double seconds) {
    result.probes.push_back(run(rate, seconds));
    return result.probes.back().is_sustained;
  };
  double low = 0;
  double high = options.from;
  while (high <= options.to && is_sustained(high, options.probe_seconds)) {
    low = high;
    high = high < options.to ? std::min(options.to, high * 2) : high * 2;
  }
  if (low == 0) return result;
  while (high <= options.to && high / low > 1 + options.relative_width) {
    const double middle = std::sqrt(low * high);
    if (is_sustained(middle, options.probe_seconds)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  for (double rate = low; rate >= options.from; rate *= 1 - options.relative_width) {
    if (!is_sustained(rate, options.confirm_seconds)) continue;
    result.rate = rate;
    break;
  }
  return result;
}

}  // namespace sagetally::loadtest
