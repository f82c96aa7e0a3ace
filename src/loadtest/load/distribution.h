// Distributions of positive numbers: spacings, service times, body sizes. Drawn with Boost.Random, described
// by Boost.Math.
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

struct Always {  // one value
  double value = 0;
};

class Distribution {
 public:
  using Form = std::variant<Always, boost::math::exponential, boost::math::uniform, boost::math::lognormal,
                            boost::math::gamma_distribution<>, boost::math::pareto, boost::math::weibull>;
  explicit Distribution(Form form) : form_(form) {}

  static Distribution Constant(double value) { return Distribution(Always{value}); }
  static Distribution Exponential(double mean) { return Distribution(boost::math::exponential(1 / mean)); }
  static Distribution Uniform(double from, double to);
  // `cv`: standard deviation over mean.
  static Distribution Lognormal(double mean, double cv);
  static Distribution Gamma(double mean, double shape);
  static Distribution Pareto(double mean, double alpha);  // alpha > 1
  static Distribution Weibull(double mean, double shape);
  // As the scenario's schema says, such as {"kind":"gamma","mean":3,"shape":2}. Throws std::runtime_error.
  static Distribution FromJson(const nlohmann::json& json);

  double Draw(Random& random) const;
  double Mean() const;
  double Variance() const;  // infinite for a Pareto with alpha up to 2
  double Cdf(double x) const;

 private:
  Form form_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_DISTRIBUTION_H_
