// Delays between retries. No I/O.
#ifndef SAGETALLY_SRC_TIME_BACKOFF_H_
#define SAGETALLY_SRC_TIME_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Exponential backoff with full jitter: each delay is drawn between zero and a bound that doubles with each
// failure in a row. Clients that were rejected together then don't come back together, which would keep what
// could serve them one after the other overloaded.
class Backoff {
 public:
  // `initial_bound` is positive; `max_bound` also limits the first delay. With a `max_bound` of zero the
  // bound stays as it is.
  Backoff(Duration initial_bound, Duration max_bound, std::uint64_t seed)
      : initial_bound_(max_bound > Duration(0) ? std::min(initial_bound, max_bound) : initial_bound),
        max_bound_(std::max(initial_bound_, max_bound)),
        bound_(initial_bound_),
        random_(seed) {}

  // The delay after one more failure.
  Duration NextDelay() {
    const std::int64_t drawn = std::uniform_int_distribution<std::int64_t>(0, bound_.count())(random_);
    bound_ = std::min(2 * bound_, max_bound_);
    return Duration(drawn);
  }
  // After a success.
  void Reset() { bound_ = initial_bound_; }

 private:
  const Duration initial_bound_;
  const Duration max_bound_;
  Duration bound_;
  std::mt19937_64 random_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_TIME_BACKOFF_H_
