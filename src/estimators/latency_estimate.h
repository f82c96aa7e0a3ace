// Mean and variance of call latencies, as exponentially weighted moving averages. The dispatch policy uses
// them for timeouts, relegation and the detection of overdue calls.
#ifndef SAGETALLY_SRC_ESTIMATORS_LATENCY_ESTIMATE_H_
#define SAGETALLY_SRC_ESTIMATORS_LATENCY_ESTIMATE_H_

#include <algorithm>
#include <cmath>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// An estimate from samples. The first kWindow samples have equal weights; from then on the weights of older
// samples decay.
class LatencyEstimate {
 public:
  // Takes in the latency of one more answered call.
  void Add(Duration latency) {
    auto sample = static_cast<double>(latency.count());
    count_ += 1;
    // A sample counts as at most the mean plus four standard deviations and half of the mean, so that a long
    // tail does not swing the estimate.
    if (count_ > kTrustedCount) sample = std::min(sample, mean_ + 4 * std::sqrt(variance_) + 0.5 * mean_);
    const double weight = 1.0 / std::min(count_, kWindow);
    const double difference = sample - mean_;
    mean_ += weight * difference;
    variance_ = (1 - weight) * (variance_ + weight * difference * difference);
  }

  // Returns the number of samples so far.
  double Count() const { return count_; }
  // Returns the mean in microseconds; 0 before the first sample.
  double Mean() const { return mean_; }
  // Returns the variance in square microseconds; 0 before the second sample.
  double Variance() const { return variance_; }

 private:
  // Samples over which the estimate averages, so that it follows a slowdown within about ten calls.
  static constexpr double kWindow = 12.0;
  // Samples after which outliers are bounded.
  static constexpr double kTrustedCount = 8.0;

  double count_ = 0;
  double mean_ = 0;
  double variance_ = 0;
};

// `global` weighs as much in PooledLatency as this many samples of `own`.
constexpr double kGlobalLatencyWeight = 4.0;

// Returns the mean latency plus `deviations` standard deviations, or 0 before the first sample of `own`. The
// mean and the deviation are weighted averages of those of `own` and `global`, so that the estimate depends
// mostly on `global` while `own` has few samples. The standard deviation is taken to be no larger than the
// mean.
inline Duration PooledLatency(const LatencyEstimate& own, const LatencyEstimate& global, double deviations) {
  if (own.Count() == 0) return Duration(0);
  const double weight = own.Count() / (own.Count() + kGlobalLatencyWeight);
  const double mean = weight * own.Mean() + (1 - weight) * global.Mean();
  const double deviation = weight * std::sqrt(own.Variance()) + (1 - weight) * std::sqrt(global.Variance());
  return Duration(std::llround(mean + deviations * std::min(deviation, mean)));
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_LATENCY_ESTIMATE_H_
