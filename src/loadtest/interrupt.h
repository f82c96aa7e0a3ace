// Ctrl-C and SIGTERM as a condition to poll: the signals are blocked, so that a run is interrupted only where
// it can end in order.
#ifndef SAGETALLY_SRC_LOADTEST_INTERRUPT_H_
#define SAGETALLY_SRC_LOADTEST_INTERRUPT_H_

#include <csignal>
#include <ctime>

namespace sagetally::loadtest {

class Interrupt {
 public:
  // Blocks the signals; created before any thread starts, so that threads inherit that.
  Interrupt() {
    ::sigemptyset(&signals_);
    ::sigaddset(&signals_, SIGINT);
    ::sigaddset(&signals_, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  }
  ~Interrupt() { ::pthread_sigmask(SIG_UNBLOCK, &signals_, nullptr); }
  Interrupt(const Interrupt&) = delete;
  Interrupt& operator=(const Interrupt&) = delete;
  // Whether one of the signals has come so far.
  bool Requested() {
    const timespec no_wait{};
    if (!requested_) requested_ = ::sigtimedwait(&signals_, nullptr, &no_wait) > 0;
    return requested_;
  }

 private:
  sigset_t signals_{};
  bool requested_ = false;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_INTERRUPT_H_
