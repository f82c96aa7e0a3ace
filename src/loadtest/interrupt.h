// Ctrl-C and SIGTERM as a question: they are blocked, and asked for where a run can be broken off in order.
#ifndef SAGETALLY_SRC_LOADTEST_INTERRUPT_H_
#define SAGETALLY_SRC_LOADTEST_INTERRUPT_H_

#include <csignal>
#include <ctime>

namespace sagetally::loadtest {

class Interrupt {
 public:
  Interrupt() {  // before any thread starts, so that none of them is interrupted either
    ::sigemptyset(&signals_);
    ::sigaddset(&signals_, SIGINT);
    ::sigaddset(&signals_, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  }
  ~Interrupt() { ::pthread_sigmask(SIG_UNBLOCK, &signals_, nullptr); }
  Interrupt(const Interrupt&) = delete;
  Interrupt& operator=(const Interrupt&) = delete;
  bool Asked() {
    const timespec none{};
    return asked_ = asked_ || ::sigtimedwait(&signals_, nullptr, &none) > 0;
  }

 private:
  sigset_t signals_{};
  bool asked_ = false;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_INTERRUPT_H_
