#include "base/process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>
#include <string>

namespace sagetally {

std::size_t ResidentBytes(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void ConfigureAllocator() {
  // Blocks of this size and more are mapped on their own.
  static constexpr int kMinMappedBytes = 32 * 1024;
  static constexpr int kMaxFreeAtTopBytes = 128 * 1024;
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, kMaxFreeAtTopBytes);
}

void ReturnFreeMemory() { ::malloc_trim(0); }

std::size_t ResidentBytes() { return ResidentBytes(::getpid()); }

}  // namespace sagetally
