#include "loadtest/report/comparison.h"

#include <fmt/format.h>

#include <ostream>

#include "cli/table.h"
#include "loadtest/report/metrics.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

// Whether b is better or worse than a. The two differ only if the interval of the ratio b/a excludes 1.
std::string Verdict(const std::optional<Interval>& interval, bool less_is_better) {
  if (!interval) return "one run is too few to tell";
  const bool is_more = interval->low > 1;
  const bool is_less = interval->high < 1;
  if (!is_more && !is_less) return "no difference shown";
  return is_more == less_is_better ? "worse" : "better";
}

// The ratio b/a. Returns null if the mean of a is not positive.
Json Ratio(const std::optional<Interval>& interval, double mean_a, double mean_b) {
  if (!(mean_a > 0)) return nullptr;
  return interval ? interval->middle : mean_b / mean_a;
}

std::string FormatInterval(const Json& interval) {
  if (interval.is_null()) return "";
  return fmt::format("{:.3f} to {:.3f}", interval.at("low").get<double>(), interval.at("high").get<double>());
}

}  // namespace

Json Compare(const std::vector<RunResult>& a, const std::vector<RunResult>& b) {
  Json comparison = {{"runs", {a.size(), b.size()}}, {"figures", Json::array()}};
  for (const Metric& metric : kMetrics) {
    const std::vector<double> values_a = MetricValues(metric, a);
    const std::vector<double> values_b = MetricValues(metric, b);
    const auto interval = RatioInterval(values_a, values_b);
    const double mean_a = Mean(values_a);
    const double mean_b = Mean(values_b);
    comparison["figures"].push_back({{"figure", metric.name},
                                     {"a", mean_a},
                                     {"b", mean_b},
                                     {"interval", IntervalToJson(interval)},
                                     {"ratio", Ratio(interval, mean_a, mean_b)},
                                     {"verdict", Verdict(interval, metric.less_is_better)}});
  }
  return comparison;
}

void PrintComparison(const Json& comparison, std::ostream& out) {
  Table table({"figure", "a", "b", "b/a", "95% interval", "verdict"});
  for (const Json& row : comparison.at("figures")) {
    const Json& ratio = row.at("ratio");
    table.Add({row.at("figure"), fmt::format("{:.4g}", row.at("a").get<double>()),
               fmt::format("{:.4g}", row.at("b").get<double>()),
               ratio.is_null() ? "" : fmt::format("{:.3f}", ratio.get<double>()),
               FormatInterval(row.at("interval")), row.at("verdict")});
  }
  table.Print(out);
}

}  // namespace sagetally::loadtest
