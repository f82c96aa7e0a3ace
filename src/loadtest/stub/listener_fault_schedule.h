// Applies the faults of a fault timeline that affect a whole listener: it pauses the listener or stops it
// from listening, and wakes up at each time at which this changes. All calls and callbacks run on the thread
// of the event loop.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_LISTENER_FAULT_SCHEDULE_H_
#define SAGETALLY_SRC_LOADTEST_STUB_LISTENER_FAULT_SCHEDULE_H_

#include <string>

#include "loadtest/stub/listener.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

class ListenerFaultSchedule {
 public:
  // The references outlive the schedule. The timeline selects the listener by `endpoint` and `destination`.
  // `started_us` is the timeline's time 0, on the monotonic clock.
  ListenerFaultSchedule(EventLoop& loop, Listener& listener, const FaultTimeline& timeline,
                        std::string endpoint, int destination, std::int64_t started_us);

  // Returns the milliseconds since the timeline's time 0.
  double NowMs() const;
  // Returns when the listener last began to listen, in microseconds of the monotonic clock.
  std::int64_t listening_since_us() const { return listening_since_us_; }

 private:
  void ApplyFaults();

  Listener& listener_;
  const FaultTimeline& timeline_;
  const std::string endpoint_;
  const int destination_;
  const std::int64_t started_us_;
  std::int64_t listening_since_us_;
  Timer change_timer_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_LISTENER_FAULT_SCHEDULE_H_
