// Lets a bufferevent go on after errors that pass. libevent takes every error but EAGAIN and EINTR for the
// end of the connection.
#ifndef SAGETALLY_SRC_NET_TRANSFER_RESUMER_H_
#define SAGETALLY_SRC_NET_TRANSFER_RESUMER_H_

#include <event2/bufferevent.h>

#include <cstdint>

#include "net/event_loop.h"

namespace sagetally {

// Belongs to the owner of one bufferevent, which it must not outlive unless Stop() was called.
class TransferResumer {
 public:
  TransferResumer(EventLoop& loop, bufferevent* buffers);

  // To be called first in the bufferevent's event callback, while errno still is that of the failed call.
  // Returns true if reading or writing failed with an error that passes: nothing has been lost, and it
  // resumes in a moment by itself.
  bool ResumesAfter(short events, int error_number);
  // `direction` (EV_READ or EV_WRITE) is not to resume.
  void KeepPaused(short direction) { paused_ = static_cast<short>(paused_ & ~direction); }
  // The bufferevent is about to be freed.
  void Stop();
  // How often it has resumed.
  std::int64_t resumed_count() const { return resumed_count_; }

 private:
  void Resume();

  bufferevent* buffers_;
  short paused_ = 0;  // EV_READ, EV_WRITE
  std::int64_t resumed_count_ = 0;
  Timer timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_TRANSFER_RESUMER_H_
