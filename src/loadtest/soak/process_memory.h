// Watches the resident memory of one process of a soak run. Used by the runner's thread.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_PROCESS_MEMORY_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_PROCESS_MEMORY_H_

#include <sys/types.h>

#include <cstdint>

namespace sagetally::loadtest {

// The resident memory of one process since it was ready, measured at intervals.
class ProcessMemory {
 public:
  // Measures, unless the last measurement is more recent than kIntervalUs.
  void Measure(pid_t process);

  std::int64_t at_start_bytes() const { return at_start_bytes_; }
  std::int64_t peak_bytes() const { return peak_bytes_; }
  std::int64_t latest_bytes() const { return latest_bytes_; }

 private:
  static constexpr std::int64_t kIntervalUs = 20'000;

  std::int64_t measured_us_ = 0;
  std::int64_t at_start_bytes_ = 0;
  std::int64_t peak_bytes_ = 0;
  std::int64_t latest_bytes_ = 0;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_PROCESS_MEMORY_H_
