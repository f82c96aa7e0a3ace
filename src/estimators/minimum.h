// Finds the item with the lowest value of all that are offered; if several have it, the first of them.
#ifndef SAGETALLY_SRC_ESTIMATORS_MINIMUM_H_
#define SAGETALLY_SRC_ESTIMATORS_MINIMUM_H_

#include <limits>

namespace sagetally {

// `item` is the item found so far and `value` its value.
template <typename Item>
struct Minimum {
  // Default-constructed until an item with a value below `value` is offered.
  Item item = {};
  double value = std::numeric_limits<double>::infinity();

  void Offer(const Item& candidate, double candidate_value) {
    if (candidate_value >= value) return;
    item = candidate;
    value = candidate_value;
  }
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_MINIMUM_H_
