// How a process divides its memory limit between the parts that outside input can make grow.
#ifndef SAGETALLY_SRC_CONFIG_MEMORY_LIMITS_H_
#define SAGETALLY_SRC_CONFIG_MEMORY_LIMITS_H_

#include <cstddef>

namespace sagetally {

// The least memory_mb with which a process starts.
inline constexpr double kMinMemoryMegabytes = 20;
// The highest memory_mb.
inline constexpr double kMaxMemoryMegabytes = 1024 * 1024;

// The shares of one process. Together with what it holds at rest they are three quarters of its limit at
// most; the rest is for what the allocator and the system's buffers take beside it.
struct MemoryLimits {
  std::size_t client_bytes = 0;    // requests being read or answered, and responses that are not written
  std::size_t message_bytes = 0;   // messages that are pending or retained
  std::size_t remembered_ids = 0;  // how many ids of ended messages are remembered
};

// Divides `memory_limit_bytes`, which is kMinMemoryMegabytes at least.
MemoryLimits DivideMemory(std::size_t memory_limit_bytes);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_MEMORY_LIMITS_H_
