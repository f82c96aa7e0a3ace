// A token bucket. Its rate is given at each refill, so that the owner may change it at any time.
#ifndef SAGETALLY_SRC_ESTIMATORS_TOKEN_BUCKET_H_
#define SAGETALLY_SRC_ESTIMATORS_TOKEN_BUCKET_H_

#include <algorithm>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

struct TokenBucket {
  // Tokens as of updated_at. Negative if more were taken than there were.
  double tokens = 0;
  // If this is in the future, tokens are held back until then.
  Time updated_at{0};

  // Adds the tokens that came since the last refill at `rate` tokens a second, up to `capacity` tokens.
  // Returns the time until there is a whole token, at least a millisecond, or 0 if there is one.
  Duration Refill(Time now, double rate, double capacity) {
    tokens = std::min(capacity, tokens + rate * ToSeconds(now - updated_at));
    updated_at = now;
    if (tokens >= 1) return Duration(0);
    return FromSeconds((1 - tokens) / rate) + std::chrono::milliseconds(1);
  }
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_TOKEN_BUCKET_H_
