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

struct SampleStatistics {
  double mean = 0;
  double squared_standard_error = 0;  // of the mean
  double size = 0;
};

SampleStatistics ComputeStatistics(std::span<const double> values) {
  acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>> accumulator;
  for (const double value : values) accumulator(value);
  const auto size = static_cast<double>(values.size());
  // Boost's variance divides by the size n instead of n - 1, so dividing it by n - 1 gives the squared
  // standard error.
  const double squared_error = size > 1 ? acc::variance(accumulator) / (size - 1) : 0;
  return {acc::mean(accumulator), squared_error, size};
}

// The critical value of Student's t for a two-sided 95% interval.
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

double Mean(std::span<const double> values) { return values.empty() ? 0 : ComputeStatistics(values).mean; }

std::optional<Interval> MeanInterval(std::span<const double> values) {
  if (values.size() < 2) return std::nullopt;
  const SampleStatistics sample = ComputeStatistics(values);
  const double half_width = CriticalT(sample.size - 1) * std::sqrt(sample.squared_standard_error);
  return Interval{sample.mean, sample.mean - half_width, sample.mean + half_width};
}

std::optional<Interval> RatioInterval(std::span<const double> a, std::span<const double> b) {
  const auto is_usable = [](std::span<const double> values) {
    return values.size() >= 2 && std::all_of(values.begin(), values.end(), [](double v) { return v > 0; });
  };
  if (!is_usable(a) || !is_usable(b)) return std::nullopt;
  const SampleStatistics sample_a = ComputeStatistics(Logs(a));
  const SampleStatistics sample_b = ComputeStatistics(Logs(b));
  const double squared_error = sample_a.squared_standard_error + sample_b.squared_standard_error;
  const double log_ratio = sample_b.mean - sample_a.mean;
  const double ratio = std::exp(log_ratio);
  if (squared_error <= 0) return Interval{ratio, ratio, ratio};
  // By the Welch-Satterthwaite equation.
  const double degrees_of_freedom =
      Square(squared_error) / (Square(sample_a.squared_standard_error) / (sample_a.size - 1) +
                               Square(sample_b.squared_standard_error) / (sample_b.size - 1));
  const double half_width = CriticalT(degrees_of_freedom) * std::sqrt(squared_error);
  return Interval{ratio, std::exp(log_ratio - half_width), std::exp(log_ratio + half_width)};
}

}  // namespace sagetally::loadtest
