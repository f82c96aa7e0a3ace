#include "loadtest/report/metrics.h"

namespace sagetally::loadtest {
namespace {

double ShareOfOffered(const RunResult& result, std::int64_t count) {
  const std::int64_t offered = result.summary.offered;
  return offered == 0 ? 0 : static_cast<double>(count) / static_cast<double>(offered);
}

double OfferedRate(const RunResult& result) {
  return result.seconds > 0 ? static_cast<double>(result.summary.offered) / result.seconds : 0;
}

double QuantileMs(const LatencyHistogram& histogram, double quantile) {
  return histogram.Quantile(quantile) / 1000;
}

constexpr Metric kAllMetrics[] = {
    {"offered a second", OfferedRate, false},
    {"share taken", [](const RunResult& r) { return ShareOfOffered(r, r.summary.accepted.count()); }, false},
    {"share delivered", [](const RunResult& r) { return ShareOfOffered(r, r.summary.delivered.count()); },
     false},
    {"answer p50, ms", [](const RunResult& r) { return QuantileMs(r.summary.response_corrected, 0.5); },
     true},
    {"answer p99, ms", [](const RunResult& r) { return QuantileMs(r.summary.response_corrected, 0.99); },
     true},
    {"answer p99.9, ms", [](const RunResult& r) { return QuantileMs(r.summary.response_corrected, 0.999); },
     true},
    {"answer p99 as sent, ms",
     [](const RunResult& r) { return QuantileMs(r.summary.response_as_sent, 0.99); }, true},
    {"taken p99, ms", [](const RunResult& r) { return QuantileMs(r.summary.accepted, 0.99); }, true},
    {"delivered p50, ms", [](const RunResult& r) { return QuantileMs(r.summary.delivered, 0.5); }, true},
    {"delivered p99, ms", [](const RunResult& r) { return QuantileMs(r.summary.delivered, 0.99); }, true}};

}  // namespace

const std::span<const Metric> kMetrics = kAllMetrics;

std::vector<double> MetricValues(const Metric& metric, const std::vector<RunResult>& runs) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const RunResult& result : runs) values.push_back(metric.value(result));
  return values;
}

nlohmann::json IntervalToJson(const std::optional<Interval>& interval) {
  if (!interval) return nullptr;
  return {{"middle", interval->middle}, {"low", interval->low}, {"high", interval->high}};
}

}  // namespace sagetally::loadtest
