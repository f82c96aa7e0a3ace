// Conversions between Duration and seconds.
#ifndef SAGETALLY_SRC_ESTIMATORS_DURATIONS_H_
#define SAGETALLY_SRC_ESTIMATORS_DURATIONS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Returns the duration in seconds, with the resolution of a microsecond.
inline double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

// The longest duration that FromSeconds() returns, about 146,000 years. The sum of it and a Time does not
// overflow.
constexpr Duration kMaxConvertedDuration{std::int64_t{1} << 62};

// Returns the seconds as a duration, rounded to the nearest microsecond. Beyond kMaxConvertedDuration returns
// that, and for a number that is none returns 0: what the hardware makes of such a number depends on it.
inline Duration FromSeconds(double seconds) {
  constexpr auto kMax = static_cast<double>(kMaxConvertedDuration.count());
  const double microseconds = seconds * 1e6;
  if (std::isnan(microseconds)) return Duration(0);
  return Duration(std::llround(std::clamp(microseconds, -kMax, kMax)));
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_DURATIONS_H_
