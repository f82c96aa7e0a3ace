// Delays between retries, for clients on an event loop. No I/O; an object is used on one thread.
#ifndef SAGETALLY_SRC_TIME_BACKOFF_H_
#define SAGETALLY_SRC_TIME_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Exponential backoff with full jitter: each delay is drawn uniformly between zero and a bound that doubles
// with each consecutive failure. Without jitter, clients that were rejected together would retry together and
// keep a server overloaded that could serve them one after the other.
class Backoff {
 public:
  // `initial_bound` must be positive. `max_bound` also limits the first delay. If `max_bound` is zero, the
  // bound stays at `initial_bound`.
  Backoff(Duration initial_bound, Duration max_bound, std::uint64_t seed)
      : initial_bound_(max_bound > Duration(0) ? std::min(initial_bound, max_bound) : initial_bound),
        max_bound_(std::max(initial_bound_, max_bound)),
        bound_(initial_bound_),
        random_(seed) {}

  // Returns the delay after a failure, and doubles the bound of the next delay.
  Duration NextDelay() {
    const std::int64_t drawn = std::uniform_int_distribution<std::int64_t>(0, bound_.count())(random_);
    bound_ = std::min(2 * bound_, max_bound_);
    return Duration(drawn);
  }
  // To be called after a success: the next delay is drawn from the initial bound again.
  void Reset() { bound_ = initial_bound_; }

 private:
  const Duration initial_bound_;
  const Duration max_bound_;
  Duration bound_;
  std::mt19937_64 random_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_TIME_BACKOFF_H_
