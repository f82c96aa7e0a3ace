// When to ask again what did not answer. No I/O.
#ifndef SAGETALLY_SRC_CLOCK_BACK_OFF_H_
#define SAGETALLY_SRC_CLOCK_BACK_OFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "sagetally/sender.h"

namespace sagetally {

// Exponential back-off with full jitter: each wait is drawn between nought and a bound that doubles with each
// failure in a row. Many that were refused together must not come back together, or keep refused what could
// serve them one after the other.
class BackOff {
 public:
  // The first bound, and the longest. Both positive; a `most` under `first` counts as `first`.
  BackOff(Duration first, Duration most, std::uint64_t seed)
      : first_(first), most_(std::max(first, most)), bound_(first), random_(seed) {}

  Duration Next() {  // the wait after one more failure
    const std::int64_t drawn = std::uniform_int_distribution<std::int64_t>(0, bound_.count())(random_);
    bound_ = std::min(2 * bound_, most_);
    return Duration(drawn);
  }
  void Succeeded() { bound_ = first_; }

 private:
  const Duration first_, most_;
  Duration bound_;
  std::mt19937_64 random_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLOCK_BACK_OFF_H_
