// Rate curves, which say how many messages per second are offered over time, and arrivals that follow them. A
// curve is a sequence of linear segments, which can describe constant, stepped, ramped, daily and bursty
// rates.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "loadtest/load/distribution.h"

namespace sagetally::loadtest {

// A segment of a rate curve, in which the rate changes linearly from `from` to `to` messages per second. The
// last segment of a finite curve is constant and lasts forever.
struct RateSegment {
  double seconds = 0;
  double from = 0;
  double to = 0;
};

class RateCurve {
 public:
  virtual ~RateCurve() = default;
  // Returns the next segment. There is always one.
  virtual RateSegment Next() = 0;
};

// A point of a stepped or ramped rate curve.
struct RatePoint {
  double at_s = 0;
  double rate = 0;  // messages per second
  // Whether the rate changes linearly to the next point, rather than in a step at that point.
  bool ramp = false;
};

// `rate` is in messages per second.
std::unique_ptr<RateCurve> ConstantRate(double rate);

// The rate is constant before the first point and after the last. Throws std::runtime_error if there are no
// points, if a time is earlier than the one before, or if a rate is negative.
std::unique_ptr<RateCurve> SteppedRate(std::vector<RatePoint> points);

// A day lasts `day_s` seconds. The weights are the relative rates at the starts of equal parts of the day,
// between which the rate is linear. They are scaled so that the mean rate is `mean`. Throws
// std::runtime_error if the sum of the weights or `day_s` is not over 0.
std::unique_ptr<RateCurve> DailyRate(std::vector<double> weights, double day_s, double mean);

// The rate alternates between `low` and `high`. The duration of each state is exponentially distributed with
// the given mean. Together with Poisson arrivals this is a Markov-modulated Poisson process.
std::unique_ptr<RateCurve> BurstyRate(double low, double high, double low_mean_s, double high_mean_s,
                                      Random random);

// Reads the rate curve from a scenario's "arrivals".
std::unique_ptr<RateCurve> RateFromJson(const nlohmann::json& json, Random random);

// Arrivals that follow a rate curve. They are a renewal process in operational time, which is the integral of
// the rate, so that the spacings follow the given distribution in units of the mean spacing. For Poisson
// arrivals this is exact (Cinlar, Introduction to Stochastic Processes, 1975, ch. 4.7).
class Arrivals {
 public:
  // `spacing` is the distribution of the spacings. It is scaled to a mean of 1.
  Arrivals(const Distribution& spacing, std::unique_ptr<RateCurve> rate, Random random);

  // Returns the time of the next arrival in seconds since the start, or infinity if there are no more.
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
