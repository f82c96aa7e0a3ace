// Compares distributions, arrival processes and plans with their theory, with fixed seeds. Also tests
// submission ids and scenarios.
#undef NDEBUG
#include <boost/math/distributions/chi_squared.hpp>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>

#include "loadtest/load/plan.h"
#include "rejected.h"

namespace sagetally::loadtest {
namespace {

// The p-value of Pearson's chi-squared test of the sample against the distribution, with 50 bins of equal
// probability.
double ChiSquaredPValue(const Distribution& d, const std::vector<double>& sample) {
  constexpr int kBins = 50;
  std::vector<double> bins(kBins);
  for (const double x : sample) {
    ++bins[std::min<std::size_t>(kBins - 1, static_cast<std::size_t>(d.Cdf(x) * kBins))];
  }
  const double expected = static_cast<double>(sample.size()) / kBins;
  double statistic = 0;
  for (const double n : bins) statistic += (n - expected) * (n - expected) / expected;
  return boost::math::cdf(boost::math::complement(boost::math::chi_squared(kBins - 1), statistic));
}

void SamplesMatchTheirDistribution() {
  const std::pair<const char*, Distribution> table[] = {
      {"exponential", Distribution::Exponential(3)},   {"uniform", Distribution::Uniform(1, 4)},
      {"lognormal", Distribution::Lognormal(20, 1.5)}, {"gamma", Distribution::Gamma(5, 0.7)},
      {"weibull", Distribution::Weibull(2, 0.8)},      {"pareto", Distribution::Pareto(10, 3.5)},
      {"gamma, bell", Distribution::Gamma(5, 12)}};
  for (const auto& [name, d] : table) {
    Random random = Stream(11, name);
    std::vector<double> sample;
    double sum = 0;
    double squares = 0;
    constexpr int kCount = 50'000;
    for (int i = 0; i < kCount; ++i) {
      sample.push_back(d.Draw(random));
      sum += sample.back();
      squares += sample.back() * sample.back();
    }
    const double mean = sum / kCount;
    const double variance = squares / kCount - mean * mean;
    assert(std::abs(mean - d.Mean()) < 4 * std::sqrt(d.Variance() / kCount));
    assert(std::abs(variance / d.Variance() - 1) < 0.25);
    assert(ChiSquaredPValue(d, sample) > 0.001);
    // The test is strong enough to reject a sample whose mean is 5% too high.
    std::vector<double> scaled;
    for (const double x : sample) scaled.push_back(x * 1.05);
    assert(ChiSquaredPValue(d, scaled) < 0.001);
  }
  assert(std::isinf(Distribution::Pareto(10, 1.5).Variance()) && Distribution::Constant(7).Variance() == 0);
}

void InvalidDistributionsAreRejected() {
  for (const char* text :
       {R"({"kind":"gamma","mean":3})", R"({"kind":"pareto","mean":3,"alpha":1})", R"({"kind":"x","mean":1})",
        R"({"kind":"exponential","mean":0})", R"({"kind":"uniform","from":3,"to":2})",
        R"({"kind":"constant","value":-1})", R"({"mean":3})", R"({"kind":"weibull","mean":"a","shape":1})"}) {
    assert(!ErrorOf([&] { Distribution::FromJson(nlohmann::json::parse(text)); }).empty());
  }
}

// Arrivals with a changing rate have the spacing distribution again when their times are mapped to
// operational time, which is the integral of the rate.
void RampStretchesSpacingsExactly() {
  const Distribution spacings[] = {Distribution::Exponential(1), Distribution::Gamma(1, 4),
                                   Distribution::Lognormal(1, 0.5)};
  for (const Distribution& spacing : spacings) {
    // The rate rises from 100 a second to 300 in 100 s and is constant from then on.
    Arrivals arrivals(spacing, SteppedRate({{0, 100, true}, {100, 300, false}}), Stream(5, "ramp"));
    const auto operational_time = [](double t) {
      return t < 100 ? 100 * t + t * t : 20'000 + 300 * (t - 100);
    };
    std::vector<double> sample;
    double last = 0;
    for (int i = 0; i < 30'000; ++i) {
      const double t = arrivals.Next();
      assert(operational_time(t) >= last);
      sample.push_back(operational_time(t) - last);
      last = operational_time(t);
    }
    assert(ChiSquaredPValue(spacing, sample) > 0.001);
  }
}

std::vector<int> CountsBySecond(Arrivals& arrivals, int seconds) {
  std::vector<int> counts(static_cast<std::size_t>(seconds));
  for (double t = arrivals.Next(); t < seconds; t = arrivals.Next()) ++counts[static_cast<std::size_t>(t)];
  return counts;
}

struct Moments {
  double mean = 0;
  double variance = 0;
};

Moments MeanAndVariance(const std::vector<int>& counts) {
  double sum = 0;
  double squares = 0;
  for (const int count : counts) {
    sum += count;
    squares += static_cast<double>(count) * count;
  }
  const auto size = static_cast<double>(counts.size());
  return {sum / size, squares / size - sum / size * (sum / size)};
}

void ArrivalCountsHaveExpectedMeanAndVariance() {
  {
    Arrivals poisson(Distribution::Exponential(1), ConstantRate(40), Stream(3, "poisson"));
    const auto [mean, variance] = MeanAndVariance(CountsBySecond(poisson, 5000));
    assert(std::abs(mean - 40) < 4 * std::sqrt(40.0 / 5000) && std::abs(variance / 40 - 1) < 0.08);
  }
  {
    Arrivals constant(Distribution::Constant(1), ConstantRate(40), Stream(3, "constant"));
    const auto [mean, variance] = MeanAndVariance(CountsBySecond(constant, 500));
    assert(std::abs(mean - 40) < 0.1 && variance < 0.1);
  }
  {
    // In a renewal process, the ratio of variance to mean tends to the squared coefficient of variation,
    // here 4.
    Arrivals gamma(Distribution::Gamma(1, 0.25), ConstantRate(40), Stream(3, "gamma"));
    const auto [mean, variance] = MeanAndVariance(CountsBySecond(gamma, 20'000));
    assert(std::abs(mean / 40 - 1) < 0.02 && std::abs(variance / mean / 4 - 1) < 0.12);
  }
  {
    // A process that alternates between two rates has this mean and this asymptotic index of
    // dispersion (Heffes and Lucantoni, 1986). Windows of 100 s are long compared with its mean stays of 2 s
    // and 1 s.
    const double low = 20;
    const double high = 200;
    const double leave_low = 0.5;
    const double leave_high = 1;
    Arrivals bursts(Distribution::Exponential(1),
                    BurstyRate(low, high, 1 / leave_low, 1 / leave_high, Stream(3, "stays")),
                    Stream(3, "bursts"));
    const std::vector<int> seconds = CountsBySecond(bursts, 200'000);
    std::vector<int> windows;
    for (std::size_t i = 0; i < seconds.size(); i += 100) {
      int sum = 0;
      for (std::size_t j = i; j < i + 100; ++j) sum += seconds[j];
      windows.push_back(sum);
    }
    const auto [mean, variance] = MeanAndVariance(windows);
    const double rate = (low * leave_high + high * leave_low) / (leave_low + leave_high);
    const double leave_sum = leave_low + leave_high;
    const double dispersion_index = 1 + 2 * (low - high) * (low - high) * leave_low * leave_high /
                                            (leave_sum * leave_sum * (low * leave_high + high * leave_low));
    assert(std::abs(mean / 100 / rate - 1) < 0.02 && std::abs(variance / mean / dispersion_index - 1) < 0.15);
  }
}

void RateCurvesHaveExpectedShape() {
  Arrivals daily(Distribution::Constant(1), DailyRate({1, 3, 2, 2}, 40, 100), Stream(1, "day"));
  const std::vector<int> counts = CountsBySecond(daily, 80);
  const int first = std::accumulate(counts.begin(), counts.begin() + 40, 0);
  const int second = std::accumulate(counts.begin() + 40, counts.end(), 0);
  assert(std::abs(first - 4000) <= 1 && std::abs(second - 4000) <= 1);
  assert(std::abs(counts[0] - 55) <= 3 && std::abs(counts[9] - 145) <= 3 && std::abs(counts[40] - 55) <= 3);
  Arrivals none(Distribution::Exponential(1), ConstantRate(0), Stream(1, "none"));
  assert(std::isinf(none.Next()));
  Arrivals late(Distribution::Constant(1), SteppedRate({{0, 0, false}, {5, 1, false}, {8, 0, false}}),
                Stream(1, "late"));
  assert(std::abs(late.Next() - 6) < 1e-6 && std::abs(late.Next() - 7) < 1e-6 &&
         std::abs(late.Next() - 8) < 1e-6);
  assert(std::isinf(late.Next()));
  assert(!ErrorOf([] { SteppedRate({{5, 1, false}, {2, 1, false}}); }).empty());
}

nlohmann::json BaseScenarioJson() {
  return nlohmann::json::parse(R"({"targets":["127.0.0.1:1"],"seconds":100,"seed":9,
    "arrivals":{"rate":200},"classes":[{"name":"a","weight":3},{"name":"b","weight":1}],
    "destinations":{"first":5,"count":10,"zipf":1},
    "callers":{"count":8,"hot":{"share":0.21,"from_s":40,"for_s":20}}})");
}

std::vector<PlannedMessage> AllMessages(const Scenario& scenario) {
  Plan plan(scenario);
  std::vector<PlannedMessage> all;
  while (const auto p = plan.Next()) all.push_back(*p);
  return all;
}

void PlanDependsOnScenarioAndSeedAlone() {
  const std::vector<PlannedMessage> all = AllMessages(ScenarioFromJson(BaseScenarioJson()));
  assert(all == AllMessages(ScenarioFromJson(BaseScenarioJson())));
  nlohmann::json other = BaseScenarioJson();
  other["seed"] = 10;
  assert(all != AllMessages(ScenarioFromJson(other)));
  std::map<int, double> classes;
  std::map<int, double> destinations;  // outside the hot period
  double hot_messages = 0;
  double hot_period_messages = 0;
  double hot_client_outside = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    assert(all[i].number == static_cast<std::int64_t>(i) && (i == 0 || all[i].at_us >= all[i - 1].at_us));
    ++classes[all[i].message_class];
    const bool is_hot_period = all[i].at_us >= 40'000'000 && all[i].at_us < 60'000'000;
    const double from_hot_client = all[i].client == 0 ? 1 : 0;
    if (is_hot_period) {
      ++hot_period_messages;
      hot_messages += from_hot_client;
    } else {
      ++destinations[all[i].destination];
      hot_client_outside += from_hot_client;
    }
  }
  const auto count = static_cast<double>(all.size());
  assert(std::abs(count - 20'000) < 4 * std::sqrt(20'000.0));
  assert(std::abs(classes[0] / count - 0.75) < 0.02 && hot_client_outside == 0);
  assert(std::abs(hot_messages / hot_period_messages - 0.21) < 0.03);
  double harmonic = 0;
  for (int n = 1; n <= 10; ++n) harmonic += 1.0 / n;
  for (int n = 1; n <= 10; ++n) {
    const double share = 1 / (n * harmonic);
    const double messages_outside = count - hot_period_messages;
    assert(std::abs(destinations[4 + n] / messages_outside - share) <
           4 * std::sqrt(share / messages_outside));
  }
}

void BurstSizesMatchTheConfiguredSecondsOfWork() {
  nlohmann::json json = BaseScenarioJson();
  json["arrivals"]["rate"] = 0;
  json.erase("callers");
  json["clumps"] = {
      {"every_s", 5}, {"partner_rate", 40}, {"over_ms", 300}, {"worth_least_s", 1}, {"worth_most_s", 3.5}};
  const std::vector<PlannedMessage> all = AllMessages(ScenarioFromJson(json));
  int bursts = 0;
  for (std::size_t i = 0; i < all.size();) {
    std::size_t j = i;  // the end of the messages to one destination within the spread of 300 ms
    while (j < all.size() && all[j].at_us - all[i].at_us < 300'000 &&
           all[j].destination == all[i].destination) {
      ++j;
    }
    if (j == all.size() || all[j].at_us - all[j - 1].at_us > 100'000) {
      const auto size = static_cast<double>(j - i);
      if (size >= 39 && size <= 141) ++bursts;
    }
    i = j;
  }
  assert(bursts >= 8 && bursts <= 32);
}

void SubmissionIdsRoundTrip() {
  const SubmissionId id{0xdeadbeef, 1234567, 2, 25, Idempotency::kNotIdempotent};
  assert(ToText(id) == "Ldeadbeef-1234567-2-25-n" && ParseSubmissionId(ToText(id)) == id);
  assert(ParseSubmissionId("/lab/caller-3|" + ToText(id)) == id);
  for (const char* text :
       {"", "L", "Ldeadbeef-1-0-25", "Ldeadbeef-1-0-25-x", "Xdeadbeef-1-0-25-n", "Ldeadbee-1-0-25-n",
        "Ldeadbeef--1-0-25-n", "Ldeadbeef-1-0-25-n ", "Ldeadbeef-99999999999999999999-0-25-n"}) {
    assert(!ParseSubmissionId(text));
  }
}

void ScenarioErrorsNameThePointer() {
  const InvalidText table[] = {
      {R"({})", "/targets"},
      {R"({"targets":["x"]})", "/targets"},
      {R"({"targets":["127.0.0.1:1"],"seconds":-1})", "/seconds"},
      {R"({"targets":["127.0.0.1:1"],"front":"x"})", "/front"},
      {R"({"targets":["127.0.0.1:1"],"arrivals":{"rat":3}})", "/arrivals/rat"},
      {R"({"targets":["127.0.0.1:1"],"body_bytes":{"kind":"pareto"}})", "/body_bytes"},
      {R"({"targets":["127.0.0.1:1"],"clumps":{"worth_least_s":3,"worth_most_s":2}})",
       "/clumps/worth_most_s"}};
  EachErrorBeginsWithItsPointer(table,
                                [](const char* text) { ScenarioFromJson(nlohmann::json::parse(text)); });
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  SamplesMatchTheirDistribution();
  InvalidDistributionsAreRejected();
  RampStretchesSpacingsExactly();
  ArrivalCountsHaveExpectedMeanAndVariance();
  RateCurvesHaveExpectedShape();
  PlanDependsOnScenarioAndSeedAlone();
  BurstSizesMatchTheConfiguredSecondsOfWork();
  SubmissionIdsRoundTrip();
  ScenarioErrorsNameThePointer();
  std::puts("9 passed, 0 failed");
}
