// A histogram of latencies on a logarithmic axis (Boost.Histogram). Histograms of threads, runs and files can
// be merged; from 10 us to 10 min the relative error of quantiles is below half a per cent. Not thread-safe.
#ifndef SAGETALLY_SRC_LOADTEST_REPORT_HISTOGRAM_H_
#define SAGETALLY_SRC_LOADTEST_REPORT_HISTOGRAM_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <tuple>
#include <vector>

namespace sagetally::loadtest {

// A mergeable histogram of latencies in microseconds.
class LatencyHistogram {
 public:
  LatencyHistogram();
  // Adds a latency in microseconds. A value below 10 is counted in the underflow bin, one from 600,000,000 in
  // the overflow bin.
  void Add(double us);
  // Adds all values of `other`.
  void Merge(const LatencyHistogram& other);
  // Removes all values.
  void Clear();

  // The number of values.
  std::int64_t count() const { return count_; }
  // The smallest and the largest value in microseconds. Both are exact, and 0 if the histogram is empty.
  double min() const { return min_; }
  double max() const { return max_; }
  // The exact mean in microseconds; 0 if the histogram is empty.
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
  // The smallest value in microseconds that at least the fraction `p` (0 to 1) of all values doesn't exceed;
  // 0 if the histogram is empty.
  double Quantile(double p) const;
  // The number of values over `us` microseconds. A bin is counted as a whole, by its middle.
  std::int64_t CountOver(double us) const;

  // Returns minimum, maximum, sum and the non-empty bins as [index, count].
  nlohmann::json ToJson() const;
  // Throws std::runtime_error if a bin is out of range.
  static LatencyHistogram FromJson(const nlohmann::json& json);
  bool operator==(const LatencyHistogram&) const = default;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;
  // The middle of the bin on the logarithmic axis, which makes the relative error the same on both sides.
  double BinMiddle(int bin) const;
  Counts counts_;
  std::int64_t count_ = 0;
  double min_ = 0;
  double max_ = 0;
  double sum_ = 0;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_HISTOGRAM_H_
