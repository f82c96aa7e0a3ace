// Probability distributions of non-negative numbers, such as arrival spacings, service times and body sizes.
// Boost.Random draws the numbers, and Boost.Math computes means, variances and cumulative probabilities. A
// distribution is immutable, and threads may share it if each of them draws with a Random of its own.
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

// A distribution whose draws all have the same value.
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
  // `cv` is the coefficient of variation, which is the standard deviation divided by the mean.
  static Distribution Lognormal(double mean, double cv);
  static Distribution Gamma(double mean, double shape);
  static Distribution Pareto(double mean, double alpha);  // requires alpha > 1, so that there is a mean
  static Distribution Weibull(double mean, double shape);
  // Reads the form that scenarios use, such as {"kind":"gamma","mean":3,"shape":2}. The message of a thrown
  // std::runtime_error says what was expected.
  static Distribution FromJson(const nlohmann::json& json);

  double Draw(Random& random) const;
  double Mean() const;
  double Variance() const;  // infinite for a Pareto distribution with alpha of at most 2
  // Returns the probability that a draw is at most `x`.
  double Cdf(double x) const;

 private:
  Variant variant_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_DISTRIBUTION_H_
