#include "loadtest/load/rate.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

constexpr double kForEver = std::numeric_limits<double>::infinity();

class Pieces : public RateCurve {  // ends in a piece for ever, or begins again
 public:
  Pieces(std::vector<RatePiece> pieces, bool again) : pieces_(std::move(pieces)), again_(again) {}
  RatePiece Next() override {
    if (at_ == pieces_.size() && again_) at_ = 0;
    return pieces_[std::min(at_++, pieces_.size() - 1)];
  }

 private:
  const std::vector<RatePiece> pieces_;
  const bool again_;
  std::size_t at_ = 0;
};

class Bursts : public RateCurve {
 public:
  Bursts(double low, double high, double low_mean_s, double high_mean_s, Random random)
      : low_(low),
        high_(high),
        low_stay_(Distribution::Exponential(low_mean_s)),
        high_stay_(Distribution::Exponential(high_mean_s)),
        random_(random) {}
  RatePiece Next() override {
    is_high_ = !is_high_;
    const double rate = is_high_ ? high_ : low_;
    return {(is_high_ ? high_stay_ : low_stay_).Draw(random_), rate, rate};
  }

 private:
  const double low_, high_;
  const Distribution low_stay_, high_stay_;
  Random random_;
  bool is_high_ = true;
};

}  // namespace

std::unique_ptr<RateCurve> ConstantRate(double rate) {
  return std::make_unique<Pieces>(std::vector<RatePiece>{{kForEver, rate, rate}}, false);
}

std::unique_ptr<RateCurve> SteppedRate(std::vector<RatePoint> points) {
  std::vector<RatePiece> pieces;
  double at = 0;
  for (std::size_t i = 0; i < points.size(); ++i) {
    const RatePoint& p = points[i];
    if (p.at_s < at || p.rate < 0)
      throw std::runtime_error("rate points: expected rising times, no rate below 0");
    if (i == 0 && p.at_s > 0) pieces.push_back({p.at_s, p.rate, p.rate});
    at = p.at_s;
    if (i + 1 == points.size()) {
      pieces.push_back({kForEver, p.rate, p.rate});
    } else if (points[i + 1].at_s > p.at_s) {
      pieces.push_back({points[i + 1].at_s - p.at_s, p.rate, p.ramp ? points[i + 1].rate : p.rate});
    }
  }
  if (pieces.empty()) throw std::runtime_error("rate points: expected at least one");
  return std::make_unique<Pieces>(std::move(pieces), false);
}

std::unique_ptr<RateCurve> DailyRate(std::vector<double> weights, double day_s, double mean) {
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  if (weights.empty() || !(sum > 0) || !(day_s > 0))
    throw std::runtime_error("daily rate: expected weights with a sum over 0, and a day over 0");
  std::vector<RatePiece> pieces;
  const auto parts = static_cast<double>(weights.size());
  for (std::size_t i = 0; i < weights.size(); ++i) {  // straight lines between the weights keep their mean
    const double scale = mean * parts / sum;
    pieces.push_back({day_s / parts, weights[i] * scale, weights[(i + 1) % weights.size()] * scale});
  }
  return std::make_unique<Pieces>(std::move(pieces), true);
}

std::unique_ptr<RateCurve> BurstyRate(double low, double high, double low_mean_s, double high_mean_s,
                                      Random random) {
  return std::make_unique<Bursts>(low, high, low_mean_s, high_mean_s, random);
}

std::unique_ptr<RateCurve> RateFromJson(const nlohmann::json& json, Random random) {
  if (json.contains("points")) {
    std::vector<RatePoint> points;
    for (const auto& p : json["points"])
      points.push_back({p.at("at_s"), p.at("rate"), p.value("ramp", false)});
    return SteppedRate(std::move(points));
  }
  const double rate = json.value("rate", 0.0);
  if (json.contains("daily")) {
    const auto& daily = json["daily"];
    return DailyRate(daily.at("weights").get<std::vector<double>>(), daily.value("day_s", 86400.0), rate);
  }
  if (json.contains("bursts")) {
    const auto& b = json["bursts"];
    return BurstyRate(b.value("low", rate), b.at("high"), b.at("low_mean_s"), b.at("high_mean_s"), random);
  }
  return ConstantRate(rate);
}

Arrivals::Arrivals(const Distribution& spacing, std::unique_ptr<RateCurve> rate, Random random)
    : spacing_(spacing),
      scale_(1 / spacing.Mean()),
      rate_(std::move(rate)),
      random_(random),
      piece_(rate_->Next()) {}

double Arrivals::Next() {
  double owed = spacing_.Draw(random_) * scale_;  // messages still to pass under the curve
  while (true) {
    const bool for_ever = !std::isfinite(piece_.seconds);
    const double slope = for_ever ? 0 : (piece_.to - piece_.from) / piece_.seconds;
    const double rate = piece_.from + slope * into_;
    const double left = piece_.seconds - into_;
    if (for_ever && rate <= 0) return kForEver;
    if (for_ever || owed <= left * (rate + piece_.to) / 2) {
      // rate * t + slope * t^2 / 2 = owed, in the form that doesn't cancel.
      const double root = std::sqrt(std::max(0.0, rate * rate + 2 * slope * owed));
      const double t = rate + root > 0 ? 2 * owed / (rate + root) : 0;
      into_ = std::min(into_ + t, piece_.seconds);
      return begun_ + into_;
    }
    owed -= left * (rate + piece_.to) / 2;
    begun_ += piece_.seconds;
    into_ = 0;
    piece_ = rate_->Next();
  }
}

}  // namespace sagetally::loadtest
