// Helpers for tests: sockets on the loopback interface, temporary folders, and functions that run an event
// loop until a condition holds. Tests should wait with RunUntil(), which returns as soon as its condition
// holds, rather than for a fixed time. Everything runs on the calling thread.
#ifndef SAGETALLY_TESTS_APP_LOOPBACK_H_
#define SAGETALLY_TESTS_APP_LOOPBACK_H_

#undef NDEBUG
#include <event2/listener.h>
#include <netinet/in.h>

#include <cassert>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

#include "net/event_loop.h"

namespace sagetally {

using namespace std::chrono_literals;

// Returns the text of a port's address on the loopback interface.
inline std::string At(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Runs the loop until `is_done` returns true. The test fails if that takes longer than a minute.
template <typename Condition>
void RunUntil(EventLoop& loop, Condition is_done) {
  const auto give_up_at = std::chrono::steady_clock::now() + 60s;
  while (!is_done()) {
    assert(std::chrono::steady_clock::now() < give_up_at);
    Timer tick(loop, [] {});  // wakes the loop at least every 20 ms, so that the limit is checked
    tick.Schedule(20ms);
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
}

// Runs the loop for a fixed time, to check that nothing happens in it.
inline void RunFor(EventLoop& loop, Duration duration) {
  bool has_fired = false;
  Timer timer(loop, [&has_fired] { has_fired = true; });
  timer.Schedule(duration);
  RunUntil(loop, [&has_fired] { return has_fired; });
}

// Owns a listener of libevent.
using ListenerPtr = std::unique_ptr<evconnlistener, Free<evconnlistener_free>>;
// Returns a listener on a free port of the loopback interface, and stores that port in `port`. `on_accepted`
// is called with `context` for each connection.
inline ListenerPtr ListenOnLoopback(EventLoop& loop, evconnlistener_cb on_accepted, void* context,
                                    std::uint16_t& port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ListenerPtr listener(evconnlistener_new_bind(loop.base(), on_accepted, context, LEV_OPT_CLOSE_ON_FREE, -1,
                                               reinterpret_cast<sockaddr*>(&address), sizeof address));
  socklen_t size = sizeof address;
  getsockname(evconnlistener_get_fd(listener.get()), reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return listener;
}

// Creates a new folder, and removes it with its contents at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char name[] = "/tmp/sagetally-node-XXXXXX";
    assert(mkdtemp(name) != nullptr);
    path = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string path;  // of the folder
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_LOOPBACK_H_
