// Rate curves (how many messages a second are offered over time) and arrivals that follow them. A curve is a
// sequence of linear segments, which covers constant, stepped, ramped, daily and bursty rates.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "loadtest/load/distribution.h"

namespace sagetally::loadtest {

// One segment: the rate changes linearly from `from` to `to` (messages a second) in `seconds`. A curve's last
// segment, if it has one, lasts forever at a constant rate.
struct RateSegment {
  double seconds = 0;
  double from = 0;
  double to = 0;
};

class RateCurve {
 public:
  virtual ~RateCurve() = default;
  virtual RateSegment Next() = 0;
};

struct RatePoint {
  double at_s = 0;
  double rate = 0;
  bool ramp = false;  // linear to the next point; else constant, with a step there
};

std::unique_ptr<RateCurve> ConstantRate(double rate);

// Constant before the first point and after the last. Throws std::runtime_error unless times rise and no rate
// is negative.
std::unique_ptr<RateCurve> SteppedRate(std::vector<RatePoint> points);

// `weights`: of equal parts of a day of `day_s` seconds, joined linearly and scaled to `mean`. Throws
// std::runtime_error if they have no positive sum.
std::unique_ptr<RateCurve> DailyRate(std::vector<double> weights, double day_s, double mean);

// Two states with exponential stays (a Markov-modulated Poisson process, with Poisson arrivals).
std::unique_ptr<RateCurve> BurstyRate(double low, double high, double low_mean_s, double high_mean_s,
                                      Random random);

// From a scenario's "arrivals".
std::unique_ptr<RateCurve> RateFromJson(const nlohmann::json& json, Random random);

// Arrivals whose spacings, in units of the mean, follow a distribution: a renewal process in operational
// time, stretched by the rate (exact for Poisson; Cinlar, Introduction to Stochastic Processes, 1975,
// ch. 4.7).
class Arrivals {
 public:
  // `spacing` is scaled to a mean of 1.
  Arrivals(const Distribution& spacing, std::unique_ptr<RateCurve> rate, Random random);

  // The next arrival, in seconds from the start; infinite if there are no more.
  double Next();

 private:
  const Distribution spacing_;
  const double scale_;
  std::unique_ptr<RateCurve> rate_;
  Random random_;
  RateSegment segment_;
  double segment_start_s_ = 0;
  double seconds_into_segment_ = 0;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_
