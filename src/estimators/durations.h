// Conversions between Duration and seconds.
#ifndef SAGETALLY_SRC_ESTIMATORS_DURATIONS_H_
#define SAGETALLY_SRC_ESTIMATORS_DURATIONS_H_

#include <cmath>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Returns the duration in seconds, with the resolution of a microsecond.
inline double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

// Returns the seconds as a duration, rounded to the nearest microsecond.
inline Duration FromSeconds(double seconds) { return Duration(std::llround(seconds * 1e6)); }

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_DURATIONS_H_
