#include "core/recent_deliveries.h"

namespace sagetally {

void RecentDeliveries::Add(const std::string& id, Time now) {
  RemoveExpired(now);
  if (ids_.insert(id).second) entries_.push_back({now, id});
}

bool RecentDeliveries::Contains(const std::string& id, Time now) {
  RemoveExpired(now);
  return ids_.contains(id);
}

void RecentDeliveries::RemoveExpired(Time now) {
  while (!entries_.empty() &&
         (entries_.front().delivered_at + kRetention < now || entries_.size() > kMaxIds)) {
    ids_.erase(entries_.front().id);
    entries_.pop_front();
  }
}

}  // namespace sagetally
