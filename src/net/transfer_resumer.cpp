#include "net/transfer_resumer.h"

#include "net/socket_error.h"

namespace sagetally {

TransferResumer::TransferResumer(EventLoop& loop, bufferevent* buffers)
    : buffers_(buffers), timer_(loop, [this] { Resume(); }) {}

bool TransferResumer::ResumeIfTransient(short events, int error_number) {
  if ((events & BEV_EVENT_ERROR) == 0 || !IsTransientSocketError(error_number)) return false;
  // An error without a direction means that connecting has failed.
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

// Enables the directions that libevent has disabled after the error. libevent has kept the buffered bytes.
void TransferResumer::Resume() {
  if (buffers_ == nullptr) return;
  const short paused = paused_;
  paused_ = 0;
  if (paused != 0) bufferevent_enable(buffers_, paused);
}

}  // namespace sagetally
