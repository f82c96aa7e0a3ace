#include "config/memory_limits.h"

#include <algorithm>

#include "core/id_history.h"

namespace sagetally {
namespace {

// The program, its libraries and settings, the endpoint list and the connections to endpoints.
constexpr std::size_t kAtRestBytes = 10 * 1024 * 1024;
// The shares in hundredths of what is left. What these do not take is for the journal, notifications and
// calls.
constexpr std::size_t kClientPercent = 34;
constexpr std::size_t kMessagePercent = 34;
constexpr std::size_t kIdPercent = 12;
// What one remembered id takes up: its entry by hash, by expiry, and until it is saved.
constexpr std::size_t kRememberedIdBytes = 112;

}  // namespace

MemoryLimits DivideMemory(std::size_t memory_limit_bytes) {
  const std::size_t usable = memory_limit_bytes / 4 * 3;
  const std::size_t divided = usable - std::min(usable, kAtRestBytes);
  MemoryLimits limits;
  limits.client_bytes = divided / 100 * kClientPercent;
  limits.message_bytes = divided / 100 * kMessagePercent;
  limits.remembered_ids = std::min(IdHistory::kMaxIds, divided / 100 * kIdPercent / kRememberedIdBytes);
  return limits;
}

}  // namespace sagetally
