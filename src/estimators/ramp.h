// Closed formulas for capacity that comes back and for connections that callers keep.
#ifndef SAGETALLY_SRC_ESTIMATORS_RAMP_H_
#define SAGETALLY_SRC_ESTIMATORS_RAMP_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// A linear ramp from `initial` to 1, which it reaches `length` after `start`; `initial` if there is no start.
inline double RampedFraction(double initial, std::optional<Time> start, Time now, Duration length) {
  const double progress = start ? ToSeconds(now - *start) / ToSeconds(length) : 0.0;
  return std::min(1.0, initial + (1 - initial) * progress);
}

// The seconds for which each of `callers`, which together make `call_rate` random calls a second, keeps an
// idle connection so that about `connections` of them are open at a time. Infinite if that is one for each
// caller.
inline double IdleSecondsFor(double connections, int callers, double call_rate) {
  const double open_fraction = std::min(1.0, connections / callers);
  return -callers / call_rate * std::log(1 - open_fraction);
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_RAMP_H_
