// Confidence intervals over repeated runs (Student's t and Welch's, by Boost.Math).
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_

#include <optional>
#include <span>

namespace sagetally::loadtest {

// A 95% confidence interval.
struct Interval {
  double middle = 0;
  double low = 0;
  double high = 0;
};

// Of the mean, by Student's t. None for fewer than two values.
std::optional<Interval> MeanInterval(std::span<const double> values);

// Of the ratio of b's geometric mean to a's, by Welch's t on the logarithms. None unless both have two values
// or more, all of them positive.
std::optional<Interval> RatioInterval(std::span<const double> a, std::span<const double> b);

// 0 if there are no values.
double Mean(std::span<const double> values);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_
