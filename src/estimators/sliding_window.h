// Counts the events within a sliding time window.
#ifndef SAGETALLY_SRC_ESTIMATORS_SLIDING_WINDOW_H_
#define SAGETALLY_SRC_ESTIMATORS_SLIDING_WINDOW_H_

#include <algorithm>
#include <deque>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// The length of the window is given at each call; it must be the same at all of them.
class SlidingWindow {
 public:
  // Counts one event and drops the events that are older than `length`.
  void Add(Time now, Duration length) {
    events_.push_back(now);
    while (events_.front() + length < now) events_.pop_front();
  }

  // Returns the events a second in the window of `length` that ends with the last event. A window of less
  // than 0.1 s counts as 0.1 s.
  double Rate(Duration length) const {
    return static_cast<double>(events_.size()) / std::max(kMinSeconds, ToSeconds(length));
  }

 private:
  static constexpr double kMinSeconds = 0.1;

  std::deque<Time> events_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_SLIDING_WINDOW_H_
