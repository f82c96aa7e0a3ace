// Mean and variance of call latencies, as exponentially weighted moving averages.
#ifndef SAGETALLY_SRC_ESTIMATORS_LATENCY_ESTIMATE_H_
#define SAGETALLY_SRC_ESTIMATORS_LATENCY_ESTIMATE_H_

#include <algorithm>
#include <cmath>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// The first samples weigh alike; from kWindow samples on, older ones are forgotten.
class LatencyEstimate {
 public:
  // Takes in the latency of one more answered call.
  void Add(Duration latency) {
    auto sample = static_cast<double>(latency.count());
    count_ += 1;
    // One outlier counts as four deviations at most, so that a long tail cannot swing the estimate.
    if (count_ > kTrustedCount) sample = std::min(sample, mean_ + 4 * std::sqrt(variance_) + 0.5 * mean_);
    const double weight = 1.0 / std::min(count_, kWindow);
    const double difference = sample - mean_;
    mean_ += weight * difference;
    variance_ = (1 - weight) * (variance_ + weight * difference * difference);
  }

  // Samples so far.
  double Count() const { return count_; }
  // Microseconds; 0 before the first sample.
  double Mean() const { return mean_; }
  // Square microseconds; 0 before the second sample.
  double Variance() const { return variance_; }

 private:
  static constexpr double kWindow = 12.0;       // samples: follows a slowdown within about ten calls
  static constexpr double kTrustedCount = 8.0;  // samples after which outliers are bounded

  double count_ = 0;
  double mean_ = 0;
  double variance_ = 0;
};

constexpr double kGlobalLatencyWeight = 4.0;  // samples of `own` that `global` weighs as much as

// The mean of `own` plus `deviations` standard deviations, 0 before the first sample of `own`. While `own`
// has few samples the estimate leans on `global`, which weighs as kGlobalLatencyWeight of them. The deviation
// counts for one mean at most.
inline Duration PooledLatency(const LatencyEstimate& own, const LatencyEstimate& global, double deviations) {
  if (own.Count() == 0) return Duration(0);
  const double weight = own.Count() / (own.Count() + kGlobalLatencyWeight);
  const double mean = weight * own.Mean() + (1 - weight) * global.Mean();
  const double deviation = weight * std::sqrt(own.Variance()) + (1 - weight) * std::sqrt(global.Variance());
  return Duration(std::llround(mean + deviations * std::min(deviation, mean)));
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_LATENCY_ESTIMATE_H_
