// When to ask again what did not answer. No I/O.
#ifndef SAGETALLY_SRC_TIME_BACKOFF_H_
#define SAGETALLY_SRC_TIME_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Exponential back-off with full jitter: each wait is drawn between nought and a bound that doubles with each
// failure in a row. Many that were refused together must not come back together, or keep refused what could
// serve them one after the other.
class Backoff {
 public:
  // The first bound, positive, and the longest, which goes before it; a `most` of nought: all are the first.
  Backoff(Duration first, Duration most, std::uint64_t seed)
      : initial_bound_(most > Duration(0) ? std::min(first, most) : first),
        max_bound_(std::max(initial_bound_, most)),
        bound_(initial_bound_),
        random_(seed) {}

  Duration NextDelay() {  // the wait after one more failure
    const std::int64_t drawn = std::uniform_int_distribution<std::int64_t>(0, bound_.count())(random_);
    bound_ = std::min(2 * bound_, max_bound_);
    return Duration(drawn);
  }
  void Reset() { bound_ = initial_bound_; }

 private:
  const Duration initial_bound_, max_bound_;
  Duration bound_;
  std::mt19937_64 random_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_TIME_BACKOFF_H_
