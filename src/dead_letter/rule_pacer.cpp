#include "dead_letter/rule_pacer.h"

#include <algorithm>

namespace sagetally::dead_letter {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void RulePacer::BlockUntil(const std::string& rule, Time until) { paces_[rule].blocked_until = until; }

bool RulePacer::IsBlocked(const std::string& rule, Time now) const {
  const auto pace = paces_.find(rule);
  return pace != paces_.end() && pace->second.blocked_until > now;
}

Time RulePacer::TakeSlot(const std::string& rule, double rate_per_second) {
  Pace& pace = paces_[rule];
  const Time slot = std::max(pace.next_slot, pace.blocked_until);
  pace.next_slot = slot + Duration(static_cast<std::int64_t>(kMicrosecondsPerSecond / rate_per_second));
  return slot;
}

void RulePacer::EraseExpired(Time now) {
  std::erase_if(paces_, [&](const auto& entry) {
    const Pace& pace = entry.second;
    return std::max(pace.blocked_until, pace.next_slot) <= now;
  });
}

}  // namespace sagetally::dead_letter
