// The account of the memory that one consumer holds, and of its share of the process's limit. Used on the
// event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_CORE_MEMORY_ACCOUNT_H_
#define SAGETALLY_SRC_CORE_MEMORY_ACCOUNT_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <limits>

namespace sagetally {

// Counts the bytes that a consumer holds, as they cost in memory. Enforces nothing: the consumer asks for
// room before it takes more, or gives up what it holds.
class MemoryAccount {
 public:
  // `limit` is the consumer's share in bytes; by default there is none.
  explicit MemoryAccount(std::size_t limit = std::numeric_limits<std::size_t>::max()) : limit_(limit) {}

  std::size_t limit() const { return limit_; }
  void SetLimit(std::size_t limit) { limit_ = limit; }
  std::size_t used() const { return used_; }
  bool IsExceeded() const { return used_ > limit_; }
  bool HasRoomFor(std::size_t bytes) const { return bytes <= limit_ && used_ <= limit_ - bytes; }

  void Add(std::size_t bytes) {
    used_ += bytes;
    peak_ = std::max(peak_, used_);
  }
  // Releases bytes that were added before.
  void Remove(std::size_t bytes) {
    used_ -= std::min(bytes, used_);
    if (peak_ - used_ < kNotableRelease) return;
    peak_ = used_;
    if (on_released) on_released();
  }

  // Called when the consumer holds kNotableRelease less than it held before. May be empty.
  std::function<void()> on_released;

 private:
  // So many free bytes are worth returning to the system.
  static constexpr std::size_t kNotableRelease = 1024 * 1024;

  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;  // since the last call of on_released
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CORE_MEMORY_ACCOUNT_H_
