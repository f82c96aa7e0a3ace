// Pauses and shuts the listener of a stub server as its fault timeline says, waking up for each change. Lives
// on one event loop; no threads.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_LISTENER_FAULT_SCHEDULE_H_
#define SAGETALLY_SRC_LOADTEST_STUB_LISTENER_FAULT_SCHEDULE_H_

#include <string>

#include "loadtest/stub/listener.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

class ListenerFaultSchedule {
 public:
  // The references outlive the schedule. `endpoint`, `destination`: by which the timeline addresses the
  // listener. `started_us`: time 0 of the timeline, on the monotonic clock.
  ListenerFaultSchedule(EventLoop& loop, Listener& listener, const FaultTimeline& timeline,
                        std::string endpoint, int destination, std::int64_t started_us);

  double NowMs() const;  // since the timeline's time 0
  // When the listener last began to listen, on the monotonic clock.
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
