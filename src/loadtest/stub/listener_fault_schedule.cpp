#include "loadtest/stub/listener_fault_schedule.h"

#include <algorithm>
#include <cmath>

#include "loadtest/clock.h"

namespace sagetally::loadtest {

namespace {

// A change that is later than this is the end of a span without an end. No timer is set for it, because a
// timer can't wait so long.
constexpr double kMaxTimerMs = 1e12;

}  // namespace

ListenerFaultSchedule::ListenerFaultSchedule(EventLoop& loop, Listener& listener,
                                             const FaultTimeline& timeline, std::string endpoint,
                                             int destination, std::int64_t started_us)
    : listener_(listener),
      timeline_(timeline),
      endpoint_(std::move(endpoint)),
      destination_(destination),
      started_us_(started_us),
      listening_since_us_(started_us),
      change_timer_(loop, [this] { ApplyFaults(); }) {
  ApplyFaults();
}

double ListenerFaultSchedule::NowMs() const { return static_cast<double>(NowUs() - started_us_) / 1000; }

void ListenerFaultSchedule::ApplyFaults() {
  const double now_ms = NowMs();
  bool is_paused = false;
  bool refuses_connections = false;
  double next_change_ms = HUGE_VAL;
  for (const FaultSpan& span : timeline_.spans()) {
    if (!span.AffectsListener()) continue;
    for (const double edge_ms : {span.from_ms, span.from_ms + span.for_ms}) {
      if (edge_ms > now_ms) next_change_ms = std::min(next_change_ms, edge_ms);
    }
    if (!span.Covers(now_ms, endpoint_, destination_)) continue;
    if (span.fault == Fault::kPause) {
      is_paused = true;
    } else {
      refuses_connections = true;
    }
  }
  if (listener_.is_listening() == refuses_connections) {
    listener_.SetListening(!refuses_connections);
    if (!refuses_connections) listening_since_us_ = NowUs();
  }
  listener_.SetPaused(is_paused);
  if (next_change_ms < kMaxTimerMs) {
    const double wait_us = std::ceil((next_change_ms - now_ms) * 1000);
    change_timer_.Schedule(Duration(static_cast<std::int64_t>(wait_us)));
  }
}

}  // namespace sagetally::loadtest
