// A queue of items in the order in which they expire. The dispatch policy keeps message ids in it.
#ifndef SAGETALLY_SRC_ESTIMATORS_EXPIRY_QUEUE_H_
#define SAGETALLY_SRC_ESTIMATORS_EXPIRY_QUEUE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Strings, each with the time at which it expires. A string may be in the queue more than once.
class ExpiryQueue {
 public:
  void Add(Time expires_at, std::string item) { items_.emplace(expires_at, std::move(item)); }

  // Returns when the next item expires, or nothing if the queue is empty.
  std::optional<Time> NextExpiry() const {
    return items_.empty() ? std::nullopt : std::optional(items_.begin()->first);
  }

  // Removes and returns the next item if it expires before `time`; returns nothing otherwise.
  std::optional<std::string> PopBefore(Time time) {
    if (items_.empty() || items_.begin()->first >= time) return std::nullopt;
    return std::move(items_.extract(items_.begin()).mapped());
  }

 private:
  std::multimap<Time, std::string> items_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_EXPIRY_QUEUE_H_
