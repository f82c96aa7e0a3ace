// A token bucket whose rate is given at each refill, so that the owner may change it at any time.
#ifndef SAGETALLY_SRC_ESTIMATORS_TOKEN_BUCKET_H_
#define SAGETALLY_SRC_ESTIMATORS_TOKEN_BUCKET_H_

#include <algorithm>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

struct TokenBucket {
  double tokens = 0;   // negative after more was taken than there was
  Time updated_at{0};  // a time in the future holds tokens back until then

  // Adds what `rate` (tokens a second) has brought since the last refill, up to `capacity` tokens. Returns
  // the time until a whole token is there, at least a millisecond, or 0 if there is one.
  Duration Refill(Time now, double rate, double capacity) {
    tokens = std::min(capacity, tokens + rate * ToSeconds(now - updated_at));
    updated_at = now;
    if (tokens >= 1) return Duration(0);
    return FromSeconds((1 - tokens) / rate) + std::chrono::milliseconds(1);
  }
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_TOKEN_BUCKET_H_
