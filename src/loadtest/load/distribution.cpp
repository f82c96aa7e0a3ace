#include "loadtest/load/distribution.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/gamma_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <boost/random/weibull_distribution.hpp>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

namespace math = boost::math;
namespace draw = boost::random;

// Combines one lambda for each alternative of a variant into a visitor.
template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;  // C++20 deduces this, but clang does so only since version 17

double PositiveMember(const nlohmann::json& json, const char* key) {
  const double value = json.at(key).get<double>();
  if (!(value > 0) || !std::isfinite(value)) {
    throw std::runtime_error(std::string(key) + ": expected a positive number, found " + json.at(key).dump());
  }
  return value;
}

}  // namespace

Distribution Distribution::Uniform(double from, double to) { return Distribution(math::uniform(from, to)); }

Distribution Distribution::Lognormal(double mean, double cv) {
  const double variance = std::log1p(cv * cv);
  return Distribution(math::lognormal(std::log(mean) - variance / 2, std::sqrt(variance)));
}

Distribution Distribution::Gamma(double mean, double shape) {
  return Distribution(math::gamma_distribution<>(shape, mean / shape));
}

Distribution Distribution::Pareto(double mean, double alpha) {
  return Distribution(math::pareto(mean * (alpha - 1) / alpha, alpha));
}

Distribution Distribution::Weibull(double mean, double shape) {
  return Distribution(math::weibull(shape, mean / std::tgamma(1 + 1 / shape)));
}

Distribution Distribution::FromJson(const nlohmann::json& json) {
  try {
    const std::string kind = json.at("kind").get<std::string>();
    if (kind == "constant") {
      const double value = json.at("value").get<double>();
      if (!(value >= 0)) throw std::runtime_error("value: expected a number of at least 0");
      return Constant(value);
    }
    if (kind == "uniform") {
      const double from = json.at("from").get<double>();
      const double to = json.at("to").get<double>();
      if (!(from >= 0 && to > from)) throw std::runtime_error("to: expected a number over from");
      return Uniform(from, to);
    }
    const double mean = PositiveMember(json, "mean");
    if (kind == "exponential") return Exponential(mean);
    if (kind == "lognormal") return Lognormal(mean, PositiveMember(json, "cv"));
    if (kind == "gamma") return Gamma(mean, PositiveMember(json, "shape"));
    if (kind == "weibull") return Weibull(mean, PositiveMember(json, "shape"));
    if (kind == "pareto") {
      const double alpha = PositiveMember(json, "alpha");
      if (!(alpha > 1)) throw std::runtime_error("alpha: expected a number over 1, so that there is a mean");
      return Pareto(mean, alpha);
    }
    throw std::runtime_error("kind: expected a distribution, found '" + kind + "'");
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("a key of the distribution is missing or has the wrong type: ") +
                             error.what());
  }
}

double Distribution::Draw(Random& random) const {
  return std::visit(
      Overloaded{
          [](const ConstantValue& constant) { return constant.value; },
          [&](const math::exponential& d) { return draw::exponential_distribution<>(d.lambda())(random); },
          [&](const math::uniform& d) {
            return draw::uniform_real_distribution<>(d.lower(), d.upper())(random);
          },
          [&](const math::lognormal& d) {
            return draw::lognormal_distribution<>(d.location(), d.scale())(random);
          },
          [&](const math::gamma_distribution<>& d) {
            return draw::gamma_distribution<>(d.shape(), d.scale())(random);
          },
          [&](const math::pareto& d) { return math::quantile(d, draw::uniform_01<>()(random)); },
          [&](const math::weibull& d) { return draw::weibull_distribution<>(d.shape(), d.scale())(random); }},
      variant_);
}

double Distribution::Mean() const {
  return std::visit(Overloaded{[](const ConstantValue& constant) { return constant.value; },
                               [](const auto& d) { return math::mean(d); }},
                    variant_);
}

double Distribution::Variance() const {
  return std::visit(Overloaded{[](const ConstantValue&) { return 0.0; },
                               [](const math::pareto& d) {
                                 return d.shape() > 2 ? math::variance(d)
                                                      : std::numeric_limits<double>::infinity();
                               },
                               [](const auto& d) { return math::variance(d); }},
                    variant_);
}

double Distribution::Cdf(double x) const {
  return std::visit(Overloaded{[&](const ConstantValue& constant) { return x < constant.value ? 0.0 : 1.0; },
                               [&](const math::pareto& d) { return x <= d.scale() ? 0.0 : math::cdf(d, x); },
                               [&](const auto& d) { return x <= 0 ? 0.0 : math::cdf(d, x); }},
                    variant_);
}

}  // namespace sagetally::loadtest
