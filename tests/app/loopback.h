// Sockets of loopback, temporary folders, and waiting on an event loop, for tests. Nothing waits a fixed
// time: Until runs the loop up to a limit.
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

inline std::string At(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Runs the loop until `is_done()`; a minute without it is a failure.
template <typename Condition>
void RunUntil(EventLoop& loop, Condition is_done) {
  const auto give_up_at = std::chrono::steady_clock::now() + 60s;
  while (!is_done()) {
    assert(std::chrono::steady_clock::now() < give_up_at);
    Timer tick(loop, [] {});  // the loop turns at least this often, so that the limit is checked
    tick.Schedule(20ms);
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
}

inline void RunFor(EventLoop& loop, Duration duration) {
  bool is_over = false;
  Timer timer(loop, [&is_over] { is_over = true; });
  timer.Schedule(duration);
  RunUntil(loop, [&is_over] { return is_over; });
}

// A listener on a free port of loopback, which is stored in `port`.
using ListenerPtr = std::unique_ptr<evconnlistener, Free<evconnlistener_free>>;
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

// A folder of its own, removed with all that is in it.
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
  std::string path;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_LOOPBACK_H_
