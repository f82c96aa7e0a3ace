// A wakeup descriptor, by which other threads wake the event loop.
#ifndef SAGETALLY_SRC_NET_WAKEUP_DESCRIPTOR_H_
#define SAGETALLY_SRC_NET_WAKEUP_DESCRIPTOR_H_

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <functional>
#include <utility>

#include "base/file_descriptor.h"
#include "net/event_loop.h"

namespace sagetally {

// Owns an eventfd. Any thread may notify it, and it then calls a function on the loop's thread. Notifications
// that arrive before the loop wakes up result in a single call. Constructed and destroyed on the loop's
// thread.
class WakeupDescriptor {
 public:
  // Calls `on_notified` on the loop's thread after Notify().
  WakeupDescriptor(EventLoop& loop, std::function<void()> on_notified)
      : on_notified_(std::move(on_notified)),
        descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        event_(StartReadEvent(loop, descriptor_.get(), OnReadable, this)) {}
  WakeupDescriptor(const WakeupDescriptor&) = delete;
  WakeupDescriptor& operator=(const WakeupDescriptor&) = delete;

  // Wakes the loop. May be called from any thread. Does not block.
  void Notify() const {
    const std::uint64_t increment = 1;
    ssize_t written = -1;
    do {
      written = ::write(descriptor_.get(), &increment, sizeof increment);
    } while (written < 0 && errno == EINTR);
    // Any other failure means that the counter is full, in which case the loop is about to wake up anyway.
  }

 private:
  static void OnReadable(evutil_socket_t descriptor, short, void* self) {
    std::uint64_t notification_count = 0;
    [[maybe_unused]] const auto size = ::read(descriptor, &notification_count, sizeof notification_count);
    static_cast<WakeupDescriptor*>(self)->on_notified_();
  }

  std::function<void()> on_notified_;
  FileDescriptor descriptor_;
  EventPtr event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_WAKEUP_DESCRIPTOR_H_
