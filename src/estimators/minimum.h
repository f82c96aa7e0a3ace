// The item with the lowest value of those offered; of equal ones the first.
#ifndef SAGETALLY_SRC_ESTIMATORS_MINIMUM_H_
#define SAGETALLY_SRC_ESTIMATORS_MINIMUM_H_

#include <limits>

namespace sagetally {

template <typename Item>
struct Minimum {
  Item item = {};  // the default until one is offered with a value below `value`
  double value = std::numeric_limits<double>::infinity();

  void Offer(const Item& candidate, double candidate_value) {
    if (candidate_value >= value) return;
    item = candidate;
    value = candidate_value;
  }
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_MINIMUM_H_
