#include "loadtest/load/limit.h"

#include <algorithm>
#include <cmath>

namespace sagetally::loadtest {

Limit FindLimit(const LimitOptions& o, const std::function<Probe(double, double)>& run) {
  Limit limit;
  const auto holds = [&](double rate, double seconds) {
    limit.probes.push_back(run(rate, seconds));
    return limit.probes.back().held;
  };
  double low = 0, high = o.from;
  while (high <= o.to && holds(high, o.probe_s)) {
    low = high;
    high = high < o.to ? std::min(o.to, high * 2) : high * 2;
  }
  if (low == 0) return limit;
  while (high <= o.to && high / low > 1 + o.within) {
    const double middle = std::sqrt(low * high);
    (holds(middle, o.probe_s) ? low : high) = middle;
  }
  for (double rate = low; rate >= o.from; rate *= 1 - o.within) {
    if (!holds(rate, o.confirm_s)) continue;
    limit.rate = rate;
    break;
  }
  return limit;
}

}  // namespace sagetally::loadtest
