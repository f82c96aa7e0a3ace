// One clock for everything: the wall clock as it stood at the start, carried on by the steady one. It never
// goes back, and deadlines and windows in the store mean the same after a restart.
#ifndef SAGETALLY_SRC_TIME_CLOCK_H_
#define SAGETALLY_SRC_TIME_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// A moment by both clocks: the wall's may have been set anew between two processes, the machine's steady one
// can't be, but counts from the machine's start.
struct Timestamp {
  Time wall_time{0}, steady_time{0};
  std::uint64_t boot_id = 0;  // which start of the machine; 0: not known
  bool operator==(const Timestamp&) const = default;
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time Now() const = 0;
  virtual Timestamp CurrentTimestamp() const { return {Now(), Time(0), 0}; }
};

class SystemClock : public Clock {
 public:
  SystemClock();
  // Tells the time as another process of this start of the machine does, of which this is a moment.
  explicit SystemClock(const Timestamp& of);
  Time Now() const override {
    return wall_start_ +
           std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - steady_start_);
  }
  Timestamp CurrentTimestamp() const override;
  // Goes on from the last moment of an earlier process: if the wall's clock was set back meanwhile, by the
  // machine's steady one or, if that has begun anew, from that moment on. How far it was carried, and whether
  // that was measured.
  struct ClockCorrection {
    Duration amount{0};
    bool is_measured = true;
  };
  ClockCorrection ContinueFrom(const Timestamp& last);

 private:
  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  Time wall_start_ =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  std::uint64_t boot_id_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_TIME_CLOCK_H_
