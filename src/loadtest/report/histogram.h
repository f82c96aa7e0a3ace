// Latencies on a log axis (Boost.Histogram): merged across threads, runs and files, with quantiles that are
// wrong by under half a per cent from 10 us to 10 min.
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

class LatencyHistogram {
 public:
  LatencyHistogram();
  // Microseconds; below 10 counts as under the axis, from 600,000,000 as over it.
  void Add(double us);
  void Merge(const LatencyHistogram& other);
  void Clear();

  std::int64_t count() const { return count_; }
  double min() const { return min_; }  // exact; 0 if empty
  double max() const { return max_; }
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
  // The least value that at least `p` of all are no greater than, p from 0 to 1; 0 if empty.
  double Quantile(double p) const;
  // How many were over `us`, to the width of a bin.
  std::int64_t Over(double us) const;

  // Bins that hold something, as [index, count]; min, max, sum.
  nlohmann::json ToJson() const;
  static LatencyHistogram FromJson(const nlohmann::json& json);  // throws std::runtime_error
  bool operator==(const LatencyHistogram&) const = default;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Counts =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;
  double Middle(int bin) const;
  Counts counts_;
  std::int64_t count_ = 0;
  double min_ = 0, max_ = 0, sum_ = 0;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_REPORT_HISTOGRAM_H_
