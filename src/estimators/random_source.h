// A source of random numbers from a seed. The same seed gives the same numbers on every run.
#ifndef SAGETALLY_SRC_ESTIMATORS_RANDOM_SOURCE_H_
#define SAGETALLY_SRC_ESTIMATORS_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

#include "estimators/durations.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Returns a number that is uniformly distributed in [low, high).
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(engine_);
  }

  // Returns `duration` with jitter: longer or shorter by up to `fraction` of it, so that dispatchers that
  // failed together do not return together.
  Duration Jitter(Duration duration, double fraction = kDefaultFraction) {
    return FromSeconds(ToSeconds(duration) * Uniform(1 - fraction, 1 + fraction));
  }

 private:
  static constexpr double kDefaultFraction = 0.2;

  std::mt19937_64 engine_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_RANDOM_SOURCE_H_
