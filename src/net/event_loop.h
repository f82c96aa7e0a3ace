// The event loop, and the timers, signals and descriptors that it watches. All of src/net runs on the thread
// that calls EventLoop::Run, unless a class says otherwise; callbacks run on that thread too.
#ifndef SAGETALLY_SRC_NET_EVENT_LOOP_H_
#define SAGETALLY_SRC_NET_EVENT_LOOP_H_

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <memory>

#include "net/libevent_ptr.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Owns a libevent base. Must outlive everything that is registered with it.
class EventLoop {
 public:
  // Throws std::runtime_error if libevent can't create a base.
  EventLoop();
  event_base* base() const { return base_.get(); }
  // Runs until Break() or until no event is registered any more.
  void Run() { event_base_dispatch(base_.get()); }
  // Ends Run() after the callback that is running.
  void Break() { event_base_loopbreak(base_.get()); }

 private:
  std::unique_ptr<event_base, Free<event_base_free>> base_;
};

// Of the events that are due, urgent ones run first. Events are normal unless set otherwise.
enum class EventPriority { kUrgent = 0, kNormal = 1 };

// Registers `callback` for each time that `descriptor` is readable, until the returned event is freed. The
// caller keeps the descriptor and `argument` alive for that long.
EventPtr StartReadEvent(EventLoop& loop, evutil_socket_t descriptor, event_callback_fn callback,
                        void* argument, EventPriority priority = EventPriority::kNormal);

// Calls back once after each Schedule(). Its destructor cancels.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> on_fired);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  // Fires `delay` from now, at once if it is negative; replaces an earlier Schedule().
  void Schedule(Duration delay);
  void Stop() { event_del(event_.get()); }
  bool is_pending() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

 private:
  std::function<void()> on_fired_;
  EventPtr event_;
};

// Calls back on the loop each time the process receives the signal.
class Signal {
 public:
  Signal(EventLoop& loop, int number, std::function<void()> on_received);
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  std::function<void()> on_received_;
  EventPtr event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_EVENT_LOOP_H_
