// Confidence intervals over repeated runs (Student's t and Welch's, by Boost.Math).
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_

#include <optional>
#include <span>

namespace sagetally::loadtest {

struct Interval {
  double middle = 0, low = 0, high = 0;  // 95%
};

// Of the mean; nothing with fewer than two values.
std::optional<Interval> MeanInterval(std::span<const double> values);
// Of the ratio of b's geometric mean to a's: Welch's interval on logarithms. Nothing unless both have two
// values or more, all over 0.
std::optional<Interval> RatioInterval(std::span<const double> a, std::span<const double> b);
double Mean(std::span<const double> values);  // 0 if there are none

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_STATISTICS_H_
