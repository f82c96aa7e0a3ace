#include "net/transfer_resumer.h"

#include "net/socket_error.h"

namespace sagetally {

TransferResumer::TransferResumer(EventLoop& loop, bufferevent* buffers)
    : buffers_(buffers), timer_(loop, [this] { Resume(); }) {}

bool TransferResumer::ResumesAfter(short events, int error_number) {
  if ((events & BEV_EVENT_ERROR) == 0 || !IsTransientSocketError(error_number)) return false;
  // Without a direction it is the connection attempt that has failed.
  const int failed =
      ((events & BEV_EVENT_READING) != 0 ? EV_READ : 0) | ((events & BEV_EVENT_WRITING) != 0 ? EV_WRITE : 0);
  if (failed == 0) return false;
  paused_ = static_cast<short>(paused_ | failed);
  ++resumed_count_;
  if (!timer_.is_pending()) timer_.Schedule(kSocketRetryDelay);
  return true;
}

void TransferResumer::Stop() {
  timer_.Stop();
  buffers_ = nullptr;
}

// libevent has disabled the direction that failed, and has kept the bytes.
void TransferResumer::Resume() {
  if (buffers_ == nullptr) return;
  const short paused = paused_;
  paused_ = 0;
  if (paused != 0) bufferevent_enable(buffers_, paused);
}

}  // namespace sagetally
