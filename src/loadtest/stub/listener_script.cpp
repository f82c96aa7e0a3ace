#include "loadtest/stub/listener_script.h"

#include <algorithm>
#include <cmath>

#include "loadtest/clock.h"

namespace sagetally::loadtest {

ListenerScript::ListenerScript(EventLoop& loop, Listener& listener, const Timeline& timeline, std::string uid,
                               int destination, std::int64_t started_us)
    : listener_(listener),
      timeline_(timeline),
      uid_(std::move(uid)),
      destination_(destination),
      started_us_(started_us),
      up_since_us_(started_us),
      next_(loop, [this] { Apply(); }) {
  Apply();
}

double ListenerScript::NowMs() const { return static_cast<double>(NowUs() - started_us_) / 1000; }

void ListenerScript::Apply() {
  const double now = NowMs();
  bool paused = false, shut = false;
  double next = HUGE_VAL;
  for (const FaultSpan& s : timeline_.spans()) {
    if (!s.OfListener()) continue;
    for (const double edge : {s.from_ms, s.from_ms + s.for_ms}) {
      if (edge > now) next = std::min(next, edge);
    }
    if (!s.At(now, uid_, destination_)) continue;
    (s.fault == Fault::kPause ? paused : shut) = true;
  }
  if (listener_.up() == shut) {
    listener_.SetUp(!shut);
    if (!shut) up_since_us_ = NowUs();
  }
  listener_.SetPaused(paused);
  if (next < 1e12) next_.Schedule(Duration(static_cast<std::int64_t>(std::ceil((next - now) * 1000))));
}

}  // namespace sagetally::loadtest
