// The ids of messages that were delivered lately and are not in the message table any more. A request that
// comes twice, because something on its way repeats it, must not make a second message. Used on the event
// loop's thread.
#ifndef SAGETALLY_SRC_CORE_RECENT_DELIVERIES_H_
#define SAGETALLY_SRC_CORE_RECENT_DELIVERIES_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

class RecentDeliveries {
 public:
  // An id is kept for this long, and at most this many ids are kept.
  static constexpr Duration kRetention = std::chrono::seconds(10);
  static constexpr std::size_t kMaxIds = 4000;

  void Add(const std::string& id, Time now);
  // Whether a message with this id was delivered within kRetention before `now`.
  bool Contains(const std::string& id, Time now);

 private:
  struct Entry {
    Time delivered_at{0};
    std::string id;
  };

  void RemoveExpired(Time now);

  std::deque<Entry> entries_;  // oldest first
  std::unordered_set<std::string> ids_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_RECENT_DELIVERIES_H_
