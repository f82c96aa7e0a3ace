#include "loadtest/report/statistics.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <vector>

namespace sagetally::loadtest {
namespace {

namespace acc = boost::accumulators;

struct Sample {
  double mean = 0, error = 0;  // squared standard error
  double n = 0;
};

Sample Describe(std::span<const double> values) {
  acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>> all;
  for (const double v : values) all(v);
  const auto n = static_cast<double>(values.size());
  return {acc::mean(all), n > 1 ? acc::variance(all) / (n - 1) : 0, n};  // variance() divides by n
}

double T(double freedom) {
  return boost::math::quantile(boost::math::complement(boost::math::students_t(freedom), 0.025));
}

std::vector<double> Logs(std::span<const double> values) {
  std::vector<double> logs;
  for (const double v : values) logs.push_back(std::log(v));
  return logs;
}

}  // namespace

double Mean(std::span<const double> values) { return values.empty() ? 0 : Describe(values).mean; }

std::optional<Interval> MeanInterval(std::span<const double> values) {
  if (values.size() < 2) return std::nullopt;
  const Sample s = Describe(values);
  const double half = T(s.n - 1) * std::sqrt(s.error);
  return Interval{s.mean, s.mean - half, s.mean + half};
}

std::optional<Interval> RatioInterval(std::span<const double> a, std::span<const double> b) {
  const auto usable = [](std::span<const double> values) {
    return values.size() >= 2 && std::all_of(values.begin(), values.end(), [](double v) { return v > 0; });
  };
  if (!usable(a) || !usable(b)) return std::nullopt;
  const Sample x = Describe(Logs(a)), y = Describe(Logs(b));
  const double error = x.error + y.error;
  const double ratio = std::exp(y.mean - x.mean);
  if (error <= 0) return Interval{ratio, ratio, ratio};
  const double freedom =
      error * error / (x.error * x.error / (x.n - 1) + y.error * y.error / (y.n - 1));  // Welch-Satterthwaite
  const double half = T(freedom) * std::sqrt(error);
  return Interval{ratio, std::exp(y.mean - x.mean - half), std::exp(y.mean - x.mean + half)};
}

}  // namespace sagetally::loadtest
