#include "loadtest/report/histogram.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

constexpr double kAxisMinUs = 10;
constexpr double kAxisMaxUs = 600e6;
constexpr int kBins = 1850;  // each is 0.97 per cent wide

}  // namespace

LatencyHistogram::LatencyHistogram() : counts_(std::make_tuple(Axis(kBins, kAxisMinUs, kAxisMaxUs))) {}

void LatencyHistogram::Add(double us) {
  counts_(us);
  min_ = count_ == 0 ? us : std::min(min_, us);
  max_ = count_ == 0 ? us : std::max(max_, us);
  sum_ += us;
  ++count_;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  if (other.count_ == 0) return;
  counts_ += other.counts_;
  min_ = count_ == 0 ? other.min_ : std::min(min_, other.min_);
  max_ = count_ == 0 ? other.max_ : std::max(max_, other.max_);
  sum_ += other.sum_;
  count_ += other.count_;
}

void LatencyHistogram::Clear() {
  counts_.reset();
  count_ = 0;
  min_ = 0;
  max_ = 0;
  sum_ = 0;
}

double LatencyHistogram::BinMiddle(int bin) const {
  if (bin < 0) return min_;
  if (bin >= kBins) return max_;
  const auto& axis = counts_.axis();
  return std::clamp(axis.value(bin + 0.5), min_, max_);
}

double LatencyHistogram::Quantile(double p) const {
  if (count_ == 0) return 0;
  const auto rank =
      std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(p * static_cast<double>(count_))));
  if (rank >= count_) return max_;
  if (rank == 1) return min_;
  std::int64_t seen = 0;
  for (int bin = -1; bin <= kBins; ++bin) {
    seen += static_cast<std::int64_t>(counts_.at(bin));
    if (seen >= rank) return BinMiddle(bin);
  }
  return max_;
}

std::int64_t LatencyHistogram::CountOver(double us) const {
  std::int64_t over = 0;
  for (int bin = -1; bin <= kBins; ++bin) {
    const auto n = static_cast<std::int64_t>(counts_.at(bin));
    if (n > 0 && BinMiddle(bin) > us) over += n;
  }
  return over;
}

nlohmann::json LatencyHistogram::ToJson() const {
  nlohmann::json bins = nlohmann::json::array();
  for (int bin = -1; bin <= kBins; ++bin) {
    if (const std::uint64_t n = counts_.at(bin); n > 0) bins.push_back({bin, n});
  }
  return {{"min_us", min_}, {"max_us", max_}, {"sum_us", sum_}, {"bins", bins}};
}

LatencyHistogram LatencyHistogram::FromJson(const nlohmann::json& json) {
  LatencyHistogram histogram;
  for (const auto& bin : json.at("bins")) {
    const int index = bin.at(0).get<int>();
    const auto count = bin.at(1).get<std::int64_t>();
    if (index < -1 || index > kBins || count < 0) {
      throw std::runtime_error("a histogram's bin is out of range");
    }
    histogram.counts_.at(index) = static_cast<std::uint64_t>(count);
    histogram.count_ += count;
  }
  histogram.min_ = json.at("min_us");
  histogram.max_ = json.at("max_us");
  histogram.sum_ = json.at("sum_us");
  return histogram;
}

}  // namespace sagetally::loadtest
