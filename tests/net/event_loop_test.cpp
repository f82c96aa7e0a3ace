// A timer never fires early, however long the round of the loop took that set it.
#undef NDEBUG
#include "net/event_loop.h"

#include <cassert>
#include <chrono>

namespace sagetally {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

void ATimerCountsFromWhenItIsSet() {
  EventLoop loop;
  Steady::time_point set, fired;
  Timer wait(loop, [&] {
    fired = Steady::now();
    loop.Break();
  });
  Timer other(loop, [] {});  // wakes the loop meanwhile
  Timer busy(loop, [&] {
    const auto until = Steady::now() + milliseconds(30);
    while (Steady::now() < until) {
    }
    set = Steady::now();
    wait.Schedule(milliseconds(40));
    other.Schedule(milliseconds(11));
  });
  busy.Schedule(Duration(0));
  loop.Run();
  assert(fired - set >= milliseconds(40));
}

}  // namespace
}  // namespace sagetally

int main() { sagetally::ATimerCountsFromWhenItIsSet(); }
