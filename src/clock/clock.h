// One clock for everything: the wall clock as it stood at the start, carried on by the steady one. It never
// goes back, and deadlines and windows in the store mean the same after a restart.
#ifndef SAGETALLY_SRC_CLOCK_CLOCK_H_
#define SAGETALLY_SRC_CLOCK_CLOCK_H_

#include <chrono>

#include "sagetally/sender.h"

namespace sagetally {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time Now() const = 0;
};

class SystemClock : public Clock {
 public:
  Time Now() const override {
    return wall_ + std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - steady_);
  }

 private:
  std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
  Time wall_ = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLOCK_CLOCK_H_
