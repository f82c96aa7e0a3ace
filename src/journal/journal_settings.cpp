#include "journal/journal_settings.h"

#include <algorithm>

namespace sagetally {
namespace {

constexpr std::uint64_t kKiB = 1024;
constexpr std::uint64_t kMinDefaultSegmentBytes = 32 * kKiB;
constexpr std::uint64_t kMaxDefaultSegmentBytes = 8 * 1024 * kKiB;
constexpr std::uint64_t kDefaultSegmentsPerBudget = 24;
constexpr std::uint64_t kMinSegmentsPerBudget = 8;

}  // namespace

Durability JournalSettings::DurabilityOf(const Message& message) const {
  const auto entry = class_durability.find(message.request.message_class);
  return entry == class_durability.end() ? default_durability : entry->second;
}

bool JournalSettings::SyncsAnyClass() const {
  return default_durability == Durability::kSynced ||
         std::any_of(class_durability.begin(), class_durability.end(),
                     [](const auto& entry) { return entry.second == Durability::kSynced; });
}

std::uint64_t JournalSettings::EffectiveSegmentBytes() const {
  const std::uint64_t wanted = segment_bytes != 0
                                   ? segment_bytes
                                   : std::clamp(disk_budget / kDefaultSegmentsPerBudget,
                                                kMinDefaultSegmentBytes, kMaxDefaultSegmentBytes);
  return std::min(wanted, disk_budget / kMinSegmentsPerBudget);
}

}  // namespace sagetally
