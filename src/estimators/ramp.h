// Formulas for the capacity of a destination that warms up, and for the number of connections that callers
// keep open.
#ifndef SAGETALLY_SRC_ESTIMATORS_RAMP_H_
#define SAGETALLY_SRC_ESTIMATORS_RAMP_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Returns the value as of `now` of a linear ramp that leaves `initial` at `start` and reaches 1 after
// `length`. Without a start, returns `initial`.
inline double RampedFraction(double initial, std::optional<Time> start, Time now, Duration length) {
  const double progress = start ? ToSeconds(now - *start) / ToSeconds(length) : 0.0;
  return std::min(1.0, initial + (1 - initial) * progress);
}

// Returns for how many seconds each caller may keep an idle connection so that about `connections`
// connections are open at a time. There are `callers` callers, which together make `call_rate` calls a second
// at random times. Infinite if there may be a connection for each caller.
inline double IdleSecondsFor(double connections, int callers, double call_rate) {
  const double open_fraction = std::min(1.0, connections / callers);
  return -callers / call_rate * std::log(1 - open_fraction);
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_RAMP_H_
