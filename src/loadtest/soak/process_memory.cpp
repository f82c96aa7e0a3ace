#include "loadtest/soak/process_memory.h"

#include <algorithm>

#include "base/process_memory.h"
#include "loadtest/clock.h"

namespace sagetally::loadtest {

void ProcessMemory::Measure(pid_t process) {
  const std::int64_t now = NowUs();
  if (now < measured_us_ + kIntervalUs) return;
  measured_us_ = now;
  latest_bytes_ = static_cast<std::int64_t>(ResidentBytes(process));
  if (at_start_bytes_ == 0) at_start_bytes_ = latest_bytes_;
  peak_bytes_ = std::max(peak_bytes_, latest_bytes_);
}

}  // namespace sagetally::loadtest
