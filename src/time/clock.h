// Clocks. The whole program uses one time scale: the wall clock as read at the start of the process, advanced
// by the steady clock. Time on this scale never goes back, and deadlines in the journal stay valid across
// restarts.
#ifndef SAGETALLY_SRC_TIME_CLOCK_H_
#define SAGETALLY_SRC_TIME_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// A point in time on both clocks. The wall clock may be set between two processes. The steady clock can't be
// set, but starts again from zero when the machine is booted.
struct Timestamp {
  Time wall_time{0};    // since 1970
  Time steady_time{0};  // since the boot of the machine
  // Identifies one boot of the machine; 0: not known, and then steady_time isn't known either.
  std::uint64_t boot_id = 0;
  bool operator==(const Timestamp&) const = default;
};

// The interface to the program's time scale; tests replace it with a manual clock.
class Clock {
 public:
  virtual ~Clock() = default;
  // Returns the current time, in microseconds since 1970.
  virtual Time Now() const = 0;
  // Returns Now() as a point in time on both clocks. A clock without a steady clock knows only the wall time.
  virtual Timestamp CurrentTimestamp() const { return {Now(), Time(0), 0}; }
};

// The clock of the operating system. Not synchronised: ContinueFrom() must not run while another thread reads
// the clock.
class SystemClock : public Clock {
 public:
  // Starts a time scale at the present wall time.
  SystemClock();
  // Continues the time scale of another process, on which `reference` is a point in time. If the machine was
  // booted since, or that is not known, starts a time scale of its own.
  explicit SystemClock(const Timestamp& reference);
  Time Now() const override {
    return wall_start_ +
           std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - steady_start_);
  }
  Timestamp CurrentTimestamp() const override;
  // How ContinueFrom() changed the clock.
  struct ClockCorrection {
    Duration amount{0};       // how far the clock was advanced; negative: how far it was set back
    bool is_measured = true;  // false: it is not known how much time has passed since the earlier process
  };
  // Continues the time scale of an earlier process, whose last known point in time is `last`. The time that
  // has passed since is measured with the steady clock, so it doesn't matter whether the wall clock was set
  // meanwhile. If the machine was booted since, only the wall clock tells the time that has passed; if it is
  // behind `last`, the time scale continues from `last`.
  ClockCorrection ContinueFrom(const Timestamp& last);

 private:
  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  Time wall_start_ =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
  std::uint64_t boot_id_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_TIME_CLOCK_H_
