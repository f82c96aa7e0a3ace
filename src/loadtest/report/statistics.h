// Confidence intervals over repeated runs, by Student's and Welch's t tests with Boost.Math. Pure functions.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_

#include <optional>
#include <span>

namespace sagetally::loadtest {

// A 95% confidence interval.
struct Interval {
  double middle = 0;  // the estimate
  double low = 0;
  double high = 0;
};

// The interval of the mean, by Student's t. Returns std::nullopt for fewer than two values.
std::optional<Interval> MeanInterval(std::span<const double> values);

// The interval of the ratio of b's geometric mean to a's, by Welch's t on the logarithms. Returns
// std::nullopt unless both have two or more values and all values are positive.
std::optional<Interval> RatioInterval(std::span<const double> a, std::span<const double> b);

// The arithmetic mean; 0 if there are no values.
double Mean(std::span<const double> values);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_
