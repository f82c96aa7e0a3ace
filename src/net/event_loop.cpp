#include "net/event_loop.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sagetally {
namespace {

void Fire(evutil_socket_t, short, void* fire) { (*static_cast<std::function<void()>*>(fire))(); }

event_base* NewBase() {
  struct ConfigFree {
    void operator()(event_config* c) const { event_config_free(c); }
  };
  const std::unique_ptr<event_config, ConfigFree> config(event_config_new());
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);  // else timers are up to 5 ms late
  // Events of priority 0 go first, and a long round of others is interrupted to look for them.
  constexpr timeval kRound{0, 20'000};
  event_config_set_max_dispatch_interval(config.get(), &kRound, 64, 1);
  event_base* base = event_base_new_with_config(config.get());
  if (base != nullptr) event_base_priority_init(base, 2);
  return base;
}

}  // namespace

EventLoop::EventLoop() : base_(NewBase()) {
  if (!base_) throw std::runtime_error("no event loop");
}

Timer::Timer(EventLoop& loop, std::function<void()> fire)
    : fire_(std::move(fire)), event_(evtimer_new(loop.base(), Fire, &fire_)) {}

void Timer::Schedule(Duration d) {
  // Counted from now. libevent counts from when this round of the loop began, so that a timer set late in a
  // long round fires early or, if nothing else wakes the loop, late.
  event_base_update_cache_time(event_get_base(event_.get()));
  const auto us = std::max<std::int64_t>(0, d.count());
  const timeval wait{static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
  event_add(event_.get(), &wait);
}

Signal::Signal(EventLoop& loop, int number, std::function<void()> fire)
    : fire_(std::move(fire)), event_(evsignal_new(loop.base(), number, Fire, &fire_)) {
  event_add(event_.get(), nullptr);
}

}  // namespace sagetally
