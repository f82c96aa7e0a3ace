// The clock of runs and observations. Any thread may read it.
#ifndef SAGETALLY_SRC_LOADTEST_CLOCK_H_
#define SAGETALLY_SRC_LOADTEST_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace sagetally::loadtest {

// Returns the time of the machine's monotonic clock in microseconds. All processes of the machine share this
// clock, so that their times can be compared.
inline std::int64_t NowUs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_CLOCK_H_
