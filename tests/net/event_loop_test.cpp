// Tests of when a timer fires.
#undef NDEBUG
#include "net/event_loop.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <chrono>
#include <functional>

namespace sagetally {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// A timer never fires early, even if it is scheduled late in a long iteration of the loop. libevent by itself
// counts the delay from the beginning of the iteration.
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

// Guards against incident 021729: work that each event scheduled at once, such as the deletion of closed
// connections, was put off for as long as every iteration of the loop brought another event.
void ATimerThatIsDueFiresAlthoughEachIterationSchedulesItAgain() {
  EventLoop loop;
  int sockets[2];
  assert(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) == 0);
  assert(write(sockets[1], "x", 1) == 1);  // never read, so each iteration brings an event
  int fired = 0;
  int events = 0;
  Timer timer(loop, [&] { ++fired; });
  std::function<void()> on_readable = [&] {
    timer.Schedule(Duration(0));
    if (++events == 100) loop.Break();
  };
  const EventPtr event = StartReadEvent(
      loop, sockets[0],
      [](int, short, void* function) { (*static_cast<std::function<void()>*>(function))(); }, &on_readable);
  loop.Run();
  assert(fired > 10);
  close(sockets[0]);
  close(sockets[1]);
}

}  // namespace
}  // namespace sagetally

int main() {
  sagetally::TimerDelayStartsAtSchedule();
  sagetally::ATimerThatIsDueFiresAlthoughEachIterationSchedulesItAgain();
}
