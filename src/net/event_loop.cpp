#include "net/event_loop.h"

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace sagetally {
namespace {

constexpr int kPriorityCount = 2;  // the number of values of EventPriority
// While normal events run, the loop checks for urgent ones after this time (in seconds and microseconds) or
// after this many callbacks, whichever comes first.
constexpr timeval kMaxDispatchInterval{0, 20'000};
constexpr int kMaxDispatchCallbacks = 64;

void InvokeFunction(evutil_socket_t, short, void* function) {
  (*static_cast<std::function<void()>*>(function))();
}

event_base* NewEventBase() {
  const std::unique_ptr<event_config, Free<event_config_free>> config(event_config_new());
  event_config_set_flag(config.get(),
                        EVENT_BASE_FLAG_PRECISE_TIMER);  // otherwise timers fire up to 5 ms late
  event_config_set_max_dispatch_interval(config.get(), &kMaxDispatchInterval, kMaxDispatchCallbacks,
                                         static_cast<int>(EventPriority::kNormal));
  event_base* base = event_base_new_with_config(config.get());
  if (base != nullptr) event_base_priority_init(base, kPriorityCount);
  return base;
}

}  // namespace

EventLoop::EventLoop() : base_(NewEventBase()) {
  if (!base_) throw std::runtime_error("libevent can't create an event loop");
}

EventPtr StartReadEvent(EventLoop& loop, evutil_socket_t descriptor, event_callback_fn callback,
                        void* argument, EventPriority priority) {
  EventPtr event(event_new(loop.base(), descriptor, EV_READ | EV_PERSIST, callback, argument));
  event_priority_set(event.get(), static_cast<int>(priority));
  event_add(event.get(), nullptr);
  return event;
}

Timer::Timer(EventLoop& loop, std::function<void()> on_fired)
    : on_fired_(std::move(on_fired)),
      event_(evtimer_new(
          loop.base(), [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->Fire(); }, this)) {
}

void Timer::Fire() {
  fires_in_next_iteration_ = false;
  on_fired_();
}

void Timer::Stop() {
  event_del(event_.get());
  fires_in_next_iteration_ = false;
}

// libevent takes an event that is due out of its queue when it is added again. A timer that each iteration
// scheduled at once would then never fire.
void Timer::Schedule(Duration delay) {
  const bool is_immediate = delay <= Duration(0);
  if (is_immediate && fires_in_next_iteration_) return;
  fires_in_next_iteration_ = is_immediate;
  // libevent counts a delay from its cached time, which is the beginning of the loop's iteration. Without
  // this update, a timer scheduled late in a long iteration fires early or, if nothing else wakes the loop,
  // late.
  event_base_update_cache_time(event_get_base(event_.get()));
  const auto microseconds = std::max<std::int64_t>(0, delay.count());
  const timeval wait{static_cast<time_t>(microseconds / 1'000'000),
                     static_cast<suseconds_t>(microseconds % 1'000'000)};
  event_add(event_.get(), &wait);
}

Signal::Signal(EventLoop& loop, int number, std::function<void()> on_received)
    : on_received_(std::move(on_received)),
      event_(evsignal_new(loop.base(), number, InvokeFunction, &on_received_)) {
  event_add(event_.get(), nullptr);
}

}  // namespace sagetally
