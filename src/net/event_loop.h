// The event loop, and the timers, signals and file descriptors that it watches. All of src/net, callbacks
// included, runs on the thread that calls EventLoop::Run(), unless a class says otherwise.
#ifndef SAGETALLY_SRC_NET_EVENT_LOOP_H_
#define SAGETALLY_SRC_NET_EVENT_LOOP_H_

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <memory>

#include "net/libevent_ptr.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Owns a libevent event base. Must outlive everything that is registered with it.
class EventLoop {
 public:
  // Throws std::runtime_error if libevent can't create a base.
  EventLoop();
  // The event base, for use with libevent's own functions.
  event_base* base() const { return base_.get(); }
  // Runs events until Break() is called or no event is registered any more.
  void Run() { event_base_dispatch(base_.get()); }
  // Makes Run() return after the callback that is running.
  void Break() { event_base_loopbreak(base_.get()); }

 private:
  std::unique_ptr<event_base, Free<event_base_free>> base_;
};

// Urgent events run before normal ones that are due at the same time. Events are normal unless a caller says
// otherwise.
enum class EventPriority { kUrgent = 0, kNormal = 1 };

// Calls `callback` with `argument` each time that `descriptor` is readable, until the returned event is
// freed. The caller keeps the descriptor and `argument` alive for that long.
EventPtr StartReadEvent(EventLoop& loop, evutil_socket_t descriptor, event_callback_fn callback,
                        void* argument, EventPriority priority = EventPriority::kNormal);

// Calls a function once after each Schedule(). The destructor stops the timer.
class Timer {
 public:
  // Creates a stopped timer that calls `on_fired`.
  Timer(EventLoop& loop, std::function<void()> on_fired);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  // Fires `delay` from now, or in the loop's next iteration if `delay` is 0 or negative. Replaces an earlier
  // Schedule() that has not fired yet, except that a timer which fires in the next iteration anyway is not
  // put off by being scheduled for that once more.
  void Schedule(Duration delay);
  // Cancels a Schedule() that has not fired yet.
  void Stop();
  // Returns whether the timer is scheduled and has not fired yet.
  bool is_pending() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0; }

 private:
  void Fire();

  std::function<void()> on_fired_;
  EventPtr event_;
  bool fires_in_next_iteration_ = false;
};

// Calls a function on the loop each time the process receives a signal.
class Signal {
 public:
  // `number` is the signal's, such as SIGTERM.
  Signal(EventLoop& loop, int number, std::function<void()> on_received);
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  std::function<void()> on_received_;
  EventPtr event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_EVENT_LOOP_H_
