// Rung by any thread, heard on the loop.
#ifndef SAGETALLY_SRC_NET_WAKEUP_DESCRIPTOR_H_
#define SAGETALLY_SRC_NET_WAKEUP_DESCRIPTOR_H_

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <utility>

#include "base/file_descriptor.h"
#include "net/event_loop.h"

namespace sagetally {

class WakeupDescriptor {
 public:
  WakeupDescriptor(EventLoop& loop, std::function<void()> rung)
      : rung_(std::move(rung)),
        fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        event_(event_new(loop.base(), fd_.get(), EV_READ | EV_PERSIST, Heard, this)) {
    event_add(event_.get(), nullptr);
  }
  WakeupDescriptor(const WakeupDescriptor&) = delete;
  WakeupDescriptor& operator=(const WakeupDescriptor&) = delete;
  void Notify() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(fd_.get(), &one, sizeof one);
  }

 private:
  static void Heard(evutil_socket_t fd, short, void* self) {
    std::uint64_t times = 0;
    [[maybe_unused]] const auto got = ::read(fd, &times, sizeof times);
    static_cast<WakeupDescriptor*>(self)->rung_();
  }
  std::function<void()> rung_;
  FileDescriptor fd_;
  EventPtr event_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_WAKEUP_DESCRIPTOR_H_
