// Pauses and shuts a stand-in's listener as the timeline says, waking up for each change.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_LISTENER_SCRIPT_H_
#define SAGETALLY_SRC_LOADTEST_STUB_LISTENER_SCRIPT_H_

#include <string>

#include "loadtest/stub/listener.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

class ListenerScript {
 public:
  // All outlive it. `started_us`: time 0 of the timeline, on the monotonic clock.
  ListenerScript(EventLoop& loop, Listener& listener, const Timeline& timeline, std::string uid,
                 int destination, std::int64_t started_us);
  double NowMs() const;                                      // of the timeline
  std::int64_t up_since_us() const { return up_since_us_; }  // the last start

 private:
  void Apply();
  Listener& listener_;
  const Timeline& timeline_;
  const std::string uid_;
  const int destination_;
  const std::int64_t started_us_;
  std::int64_t up_since_us_;
  Timer next_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_LISTENER_SCRIPT_H_
