// Turns SIGINT (Ctrl-C) and SIGTERM into a condition that a command polls. The signals are blocked meanwhile,
// so that a run ends only at a point where it can shut down gracefully.
#ifndef SAGETALLY_SRC_LOADTEST_INTERRUPT_H_
#define SAGETALLY_SRC_LOADTEST_INTERRUPT_H_

#include <csignal>
#include <ctime>

namespace sagetally::loadtest {

class Interrupt {
 public:
  // Blocks the signals. It must be created before any other thread, so that all threads inherit the signal
  // mask.
  Interrupt() {
    ::sigemptyset(&signals_);
    ::sigaddset(&signals_, SIGINT);
    ::sigaddset(&signals_, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  }
  ~Interrupt() { ::pthread_sigmask(SIG_UNBLOCK, &signals_, nullptr); }
  Interrupt(const Interrupt&) = delete;
  Interrupt& operator=(const Interrupt&) = delete;
  // Returns whether one of the signals has been received so far.
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
