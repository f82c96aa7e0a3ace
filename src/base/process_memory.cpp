#include "base/process_memory.h"

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

std::size_t ResidentBytes() { return ResidentBytes(::getpid()); }

}  // namespace sagetally
