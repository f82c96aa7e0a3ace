// Lets a bufferevent continue after transient errors. libevent alone treats every error but EAGAIN and EINTR
// as the end of the connection. Used on the event loop's thread.
#ifndef SAGETALLY_SRC_NET_TRANSFER_RESUMER_H_
#define SAGETALLY_SRC_NET_TRANSFER_RESUMER_H_

#include <event2/bufferevent.h>

#include <cstdint>

#include "net/event_loop.h"

namespace sagetally {

// Resumes reading and writing on one bufferevent, which it must not outlive unless Stop() was called.
class TransferResumer {
 public:
  TransferResumer(EventLoop& loop, bufferevent* buffers);

  // Returns whether reading or writing failed with a transient error. If so, no bytes are lost, and the
  // transfer resumes after kSocketRetryDelay. To be called at the beginning of the bufferevent's event
  // callback with the callback's `events`; `error_number` is the errno of the failed call.
  bool ResumeIfTransient(short events, int error_number);
  // Cancels resuming in `direction`, which is EV_READ or EV_WRITE.
  void KeepPaused(short direction) { paused_ = static_cast<short>(paused_ & ~direction); }
  // To be called before the bufferevent is freed. Nothing is resumed any more.
  void Stop();
  // The number of transient errors so far.
  std::int64_t resumed_count() const { return resumed_count_; }

 private:
  void Resume();

  bufferevent* buffers_;
  short paused_ = 0;  // the directions to resume: a combination of EV_READ and EV_WRITE
  std::int64_t resumed_count_ = 0;
  Timer timer_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_TRANSFER_RESUMER_H_
