// How many messages a second are offered, over time: pieces of straight lines, which is all that the arrivals
// need to know of constant, stepped, ramped, daily and bursty rates.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "loadtest/load/distribution.h"

namespace sagetally::loadtest {

// One piece; the rate goes straight from `from` to `to` (messages a second) in `seconds`. The last piece of a
// curve lasts for ever at one rate.
struct RatePiece {
  double seconds = 0, from = 0, to = 0;
};

class RateCurve {
 public:
  virtual ~RateCurve() = default;
  virtual RatePiece Next() = 0;
};

struct RatePoint {
  double at_s = 0, rate = 0;
  bool ramp = false;  // straight on to the next point; else a step there
};

std::unique_ptr<RateCurve> ConstantRate(double rate);
// Before the first point its rate stands, after the last one the last.
std::unique_ptr<RateCurve> SteppedRate(std::vector<RatePoint> points);
// Weights of equal parts of a day of `day_s` seconds, joined by straight lines, with the given mean.
std::unique_ptr<RateCurve> DailyRate(std::vector<double> weights, double day_s, double mean);
// Two states with exponential stays (a Markov-modulated process).
std::unique_ptr<RateCurve> BurstyRate(double low, double high, double low_mean_s, double high_mean_s,
                                      Random random);
std::unique_ptr<RateCurve> RateFromJson(const nlohmann::json& json, Random random);

// Arrivals whose spacings, counted in units of the mean, follow a distribution: a renewal process in
// operational time, stretched by the rate (exact for Poisson; Cinlar, Introduction to Stochastic Processes,
// 1975, ch. 4.7).
class Arrivals {
 public:
  // `spacing` is scaled to a mean of 1.
  Arrivals(const Distribution& spacing, std::unique_ptr<RateCurve> rate, Random random);
  // Seconds from the start; infinite if none comes any more.
  double Next();

 private:
  const Distribution spacing_;
  const double scale_;
  std::unique_ptr<RateCurve> rate_;
  Random random_;
  RatePiece piece_;
  double begun_ = 0;  // when the piece began
  double into_ = 0;   // seconds of it that are used up
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_RATE_H_
