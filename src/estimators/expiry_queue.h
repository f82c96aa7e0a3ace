// Items by the time at which they expire.
#ifndef SAGETALLY_SRC_ESTIMATORS_EXPIRY_QUEUE_H_
#define SAGETALLY_SRC_ESTIMATORS_EXPIRY_QUEUE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

class ExpiryQueue {
 public:
  void Add(Time expires_at, std::string item) { items_.emplace(expires_at, std::move(item)); }

  // When the next item expires, if there is one.
  std::optional<Time> NextExpiry() const {
    return items_.empty() ? std::nullopt : std::optional(items_.begin()->first);
  }

  // Removes and returns the next item that expires before `time`.
  std::optional<std::string> PopBefore(Time time) {
    if (items_.empty() || items_.begin()->first >= time) return std::nullopt;
    return std::move(items_.extract(items_.begin()).mapped());
  }

 private:
  std::multimap<Time, std::string> items_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ESTIMATORS_EXPIRY_QUEUE_H_
