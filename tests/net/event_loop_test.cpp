// A timer never fires early, even if it is scheduled late in a long iteration of the loop. libevent by itself
// counts the delay from the beginning of the iteration.
#undef NDEBUG
#include "net/event_loop.h"

#include <cassert>
#include <chrono>

namespace sagetally {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

void TimerDelayStartsAtSchedule() {
  EventLoop loop;
  Clock::time_point scheduled_at;
  Clock::time_point fired_at;
  Timer timer(loop, [&] {
    fired_at = Clock::now();
    loop.Break();
  });
  Timer other(loop, [] {});  // wakes the loop up before `timer` is due
  Timer busy(loop, [&] {
    const auto busy_until = Clock::now() + milliseconds(30);
    while (Clock::now() < busy_until) {
    }
    scheduled_at = Clock::now();
    timer.Schedule(milliseconds(40));
    other.Schedule(milliseconds(11));
  });
  busy.Schedule(Duration(0));
  loop.Run();
  assert(fired_at - scheduled_at >= milliseconds(40));
}

}  // namespace
}  // namespace sagetally

int main() { sagetally::TimerDelayStartsAtSchedule(); }
