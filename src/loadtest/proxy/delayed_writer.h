// Writes bytes to a connection with delays, for the fault proxy. Used on the event loop's thread.
#ifndef SAGETALLY_SRC_LOADTEST_PROXY_DELAYED_WRITER_H_
#define SAGETALLY_SRC_LOADTEST_PROXY_DELAYED_WRITER_H_

#include <event2/bufferevent.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "net/event_loop.h"

namespace sagetally::loadtest {

// One direction of a proxied connection. What is passed to Write() and Run() keeps its order: a delay holds
// back all that follows. What is passed to WriteAside() and RunAside() delays nothing else.
class DelayedWriter {
 public:
  // `destination` must stay valid until Stop().
  DelayedWriter(EventLoop& loop, bufferevent* destination);

  void Write(std::string bytes, Duration delay = Duration(0));
  // Calls `action` after all earlier bytes were written.
  void Run(std::function<void()> action, Duration delay = Duration(0));
  void WriteAside(std::string bytes, Duration delay);
  void RunAside(std::function<void()> action, Duration delay);
  // Drops what is still to be written. Nothing is written any more.
  void Stop();

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  void Add(TimePoint due, std::function<void()> action);
  TimePoint NextInOrder(Duration delay);
  std::function<void()> WriteAction(std::string bytes);
  void RunDue();

  bufferevent* destination_;
  std::multimap<TimePoint, std::function<void()>> actions_;  // by due time; equal times in order of insertion
  TimePoint last_in_order_{};
  Timer timer_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_PROXY_DELAYED_WRITER_H_
