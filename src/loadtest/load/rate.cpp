#include "loadtest/load/rate.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

constexpr double kInfiniteSeconds = std::numeric_limits<double>::infinity();

// A curve of given segments, which either repeats or ends in a segment that lasts forever.
class PiecewiseRate : public RateCurve {
 public:
  PiecewiseRate(std::vector<RateSegment> segments, bool repeats)
      : segments_(std::move(segments)), repeats_(repeats) {}
  RateSegment Next() override {
    if (next_segment_ == segments_.size()) next_segment_ = repeats_ ? 0 : segments_.size() - 1;
    return segments_[next_segment_++];
  }

 private:
  const std::vector<RateSegment> segments_;
  const bool repeats_;
  std::size_t next_segment_ = 0;
};

// A curve that alternates between a low and a high rate.
class TwoStateRate : public RateCurve {
 public:
  TwoStateRate(double low, double high, double low_mean_s, double high_mean_s, Random random)
      : low_(low),
        high_(high),
        low_duration_(Distribution::Exponential(low_mean_s)),
        high_duration_(Distribution::Exponential(high_mean_s)),
        random_(random) {}
  RateSegment Next() override {
    is_high_ = !is_high_;
    const double rate = is_high_ ? high_ : low_;
    return {(is_high_ ? high_duration_ : low_duration_).Draw(random_), rate, rate};
  }

 private:
  const double low_;
  const double high_;
  const Distribution low_duration_;   // in seconds
  const Distribution high_duration_;  // in seconds
  Random random_;
  bool is_high_ = true;  // Next() toggles this first, so that the first segment is low.
};

}  // namespace

std::unique_ptr<RateCurve> ConstantRate(double rate) {
  return std::make_unique<PiecewiseRate>(std::vector<RateSegment>{{kInfiniteSeconds, rate, rate}}, false);
}

std::unique_ptr<RateCurve> SteppedRate(std::vector<RatePoint> points) {
  std::vector<RateSegment> segments;
  double last_s = 0;
  for (std::size_t i = 0; i < points.size(); ++i) {
    const RatePoint& point = points[i];
    if (point.at_s < last_s || point.rate < 0) {
      throw std::runtime_error("rate points: expected ascending times and no rate below 0");
    }
    if (i == 0 && point.at_s > 0) segments.push_back({point.at_s, point.rate, point.rate});
    last_s = point.at_s;
    if (i + 1 == points.size()) {
      segments.push_back({kInfiniteSeconds, point.rate, point.rate});
      continue;
    }
    const RatePoint& next = points[i + 1];
    if (next.at_s > point.at_s) {
      segments.push_back({next.at_s - point.at_s, point.rate, point.ramp ? next.rate : point.rate});
    }
  }
  if (segments.empty()) throw std::runtime_error("rate points: expected at least one");
  return std::make_unique<PiecewiseRate>(std::move(segments), false);
}

std::unique_ptr<RateCurve> DailyRate(std::vector<double> weights, double day_s, double mean) {
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  if (weights.empty() || !(sum > 0) || !(day_s > 0)) {
    throw std::runtime_error("daily rate: expected weights with a sum over 0 and a day longer than 0 s");
  }
  std::vector<RateSegment> segments;
  const auto parts = static_cast<double>(weights.size());
  const double scale = mean * parts / sum;  // linear segments between the weights don't change the mean
  for (std::size_t i = 0; i < weights.size(); ++i) {
    segments.push_back({day_s / parts, weights[i] * scale, weights[(i + 1) % weights.size()] * scale});
  }
  return std::make_unique<PiecewiseRate>(std::move(segments), true);
}

std::unique_ptr<RateCurve> BurstyRate(double low, double high, double low_mean_s, double high_mean_s,
                                      Random random) {
  return std::make_unique<TwoStateRate>(low, high, low_mean_s, high_mean_s, random);
}

std::unique_ptr<RateCurve> RateFromJson(const nlohmann::json& json, Random random) {
  if (json.contains("points")) {
    std::vector<RatePoint> points;
    for (const auto& point : json["points"]) {
      points.push_back({point.at("at_s"), point.at("rate"), point.value("ramp", false)});
    }
    return SteppedRate(std::move(points));
  }
  const double rate = json.value("rate", 0.0);
  if (json.contains("daily")) {
    const auto& daily = json["daily"];
    return DailyRate(daily.at("weights").get<std::vector<double>>(), daily.value("day_s", 86400.0), rate);
  }
  if (json.contains("bursts")) {
    const auto& bursts = json["bursts"];
    return BurstyRate(bursts.value("low", rate), bursts.at("high"), bursts.at("low_mean_s"),
                      bursts.at("high_mean_s"), random);
  }
  return ConstantRate(rate);
}

Arrivals::Arrivals(const Distribution& spacing, std::unique_ptr<RateCurve> rate, Random random)
    : spacing_(spacing),
      scale_(1 / spacing.Mean()),
      rate_(std::move(rate)),
      random_(random),
      segment_(rate_->Next()) {}

double Arrivals::Next() {
  double remaining = spacing_.Draw(random_) * scale_;  // area under the rate curve from here to the arrival
  while (true) {
    const bool is_last = !std::isfinite(segment_.seconds);
    const double slope = is_last ? 0 : (segment_.to - segment_.from) / segment_.seconds;
    const double rate = segment_.from + slope * seconds_into_segment_;
    const double seconds_left = segment_.seconds - seconds_into_segment_;
    if (is_last && rate <= 0) return kInfiniteSeconds;
    if (is_last || remaining <= seconds_left * (rate + segment_.to) / 2) {
      // Solves rate * t + slope * t^2 / 2 = remaining for t, in the form that avoids numeric cancellation.
      const double root = std::sqrt(std::max(0.0, rate * rate + 2 * slope * remaining));
      const double seconds = rate + root > 0 ? 2 * remaining / (rate + root) : 0;
      seconds_into_segment_ = std::min(seconds_into_segment_ + seconds, segment_.seconds);
      return segment_start_s_ + seconds_into_segment_;
    }
    remaining -= seconds_left * (rate + segment_.to) / 2;
    segment_start_s_ += segment_.seconds;
    seconds_into_segment_ = 0;
    segment_ = rate_->Next();
  }
}

}  // namespace sagetally::loadtest
