// Distributions of non-negative numbers: spacings, service times, body sizes. Drawn with Boost.Random,
// described by Boost.Math. Immutable; may be shared by threads, each with a Random of its own.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_DISTRIBUTION_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_DISTRIBUTION_H_

#include <boost/math/distributions/exponential.hpp>
#include <boost/math/distributions/gamma.hpp>
#include <boost/math/distributions/lognormal.hpp>
#include <boost/math/distributions/pareto.hpp>
#include <boost/math/distributions/uniform.hpp>
#include <boost/math/distributions/weibull.hpp>
#include <nlohmann/json_fwd.hpp>
#include <variant>

#include "loadtest/random.h"

namespace sagetally::loadtest {

// The distribution of one value.
struct ConstantValue {
  double value = 0;
};

class Distribution {
 public:
  using Variant =
      std::variant<ConstantValue, boost::math::exponential, boost::math::uniform, boost::math::lognormal,
                   boost::math::gamma_distribution<>, boost::math::pareto, boost::math::weibull>;
  explicit Distribution(Variant variant) : variant_(variant) {}

  static Distribution Constant(double value) { return Distribution(ConstantValue{value}); }
  static Distribution Exponential(double mean) { return Distribution(boost::math::exponential(1 / mean)); }
  static Distribution Uniform(double from, double to);
  // `cv`: coefficient of variation, the standard deviation over the mean.
  static Distribution Lognormal(double mean, double cv);
  static Distribution Gamma(double mean, double shape);
  static Distribution Pareto(double mean, double alpha);  // alpha > 1
  static Distribution Weibull(double mean, double shape);
  // From the scenario's form, such as {"kind":"gamma","mean":3,"shape":2}. Throws std::runtime_error that
  // says what was expected.
  static Distribution FromJson(const nlohmann::json& json);

  double Draw(Random& random) const;
  double Mean() const;
  double Variance() const;  // infinite for a Pareto distribution with alpha up to 2
  double Cdf(double x) const;

 private:
  Variant variant_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_DISTRIBUTION_H_
