// RAII round libevent: the loop, timers and signals.
#ifndef SAGETALLY_SRC_NET_EVENT_LOOP_H_
#define SAGETALLY_SRC_NET_EVENT_LOOP_H_

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <memory>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

template <auto kFree>
struct Free {
  template <typename T>
  void operator()(T* t) const {
    kFree(t);
  }
};
using EventPtr = std::unique_ptr<event, Free<event_free>>;
using HttpPtr = std::unique_ptr<evhttp, Free<evhttp_free>>;
using ConnectionPtr = std::unique_ptr<evhttp_connection, Free<evhttp_connection_free>>;

class EventLoop {
 public:
  EventLoop();
  event_base* base() const { return base_.get(); }
  void Run() { event_base_dispatch(base_.get()); }
  void Break() { event_base_loopbreak(base_.get()); }

 private:
  std::unique_ptr<event_base, Free<event_base_free>> base_;
};

class Timer {  // calls back once each time it is set; setting it again replaces what was set
 public:
  Timer(EventLoop& loop, std::function<void()> fire);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void Schedule(Duration d);
  void Stop() { event_del(event_.get()); }
  bool pending() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

 private:
  std::function<void()> fire_;
  EventPtr event_;
};

class Signal {
 public:
  Signal(EventLoop& loop, int number, std::function<void()> fire);
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  std::function<void()> fire_;
  EventPtr event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_EVENT_LOOP_H_
