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
  double mean = 0;
  double squared_error = 0;  // of the mean
  double size = 0;
};

Sample Describe(std::span<const double> values) {
  acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>> accumulator;
  for (const double value : values) accumulator(value);
  const auto size = static_cast<double>(values.size());
  // Boost's variance divides by the size, not by the size less one.
  const double squared_error = size > 1 ? acc::variance(accumulator) / (size - 1) : 0;
  return {acc::mean(accumulator), squared_error, size};
}

// Student's t of a two-sided 95% interval.
double CriticalT(double degrees_of_freedom) {
  return boost::math::quantile(boost::math::complement(boost::math::students_t(degrees_of_freedom), 0.025));
}

double Square(double value) { return value * value; }

std::vector<double> Logs(std::span<const double> values) {
  std::vector<double> logs;
  for (const double v : values) logs.push_back(std::log(v));
  return logs;
}

}  // namespace

double Mean(std::span<const double> values) { return values.empty() ? 0 : Describe(values).mean; }

std::optional<Interval> MeanInterval(std::span<const double> values) {
  if (values.size() < 2) return std::nullopt;
  const Sample sample = Describe(values);
  const double half = CriticalT(sample.size - 1) * std::sqrt(sample.squared_error);
  return Interval{sample.mean, sample.mean - half, sample.mean + half};
}

std::optional<Interval> RatioInterval(std::span<const double> a, std::span<const double> b) {
  const auto is_usable = [](std::span<const double> values) {
    return values.size() >= 2 && std::all_of(values.begin(), values.end(), [](double v) { return v > 0; });
  };
  if (!is_usable(a) || !is_usable(b)) return std::nullopt;
  const Sample sample_a = Describe(Logs(a));
  const Sample sample_b = Describe(Logs(b));
  const double squared_error = sample_a.squared_error + sample_b.squared_error;
  const double log_ratio = sample_b.mean - sample_a.mean;
  const double ratio = std::exp(log_ratio);
  if (squared_error <= 0) return Interval{ratio, ratio, ratio};
  // The Welch-Satterthwaite equation.
  const double degrees_of_freedom =
      Square(squared_error) / (Square(sample_a.squared_error) / (sample_a.size - 1) +
                               Square(sample_b.squared_error) / (sample_b.size - 1));
  const double half = CriticalT(degrees_of_freedom) * std::sqrt(squared_error);
  return Interval{ratio, std::exp(log_ratio - half), std::exp(log_ratio + half)};
}

}  // namespace sagetally::loadtest
