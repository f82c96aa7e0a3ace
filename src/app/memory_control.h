// Keeps a process within its memory limit: gives the consumers their shares, returns freed memory to the
// system, and logs when a share is full. Owned by the Dispatcher or the Forwarder; used on the event loop's
// thread.
#ifndef SAGETALLY_SRC_APP_MEMORY_CONTROL_H_
#define SAGETALLY_SRC_APP_MEMORY_CONTROL_H_

#include <chrono>

#include "config/memory_limits.h"
#include "core/memory_account.h"
#include "logging/logger.h"
#include "net/client_memory.h"
#include "net/event_loop.h"

namespace sagetally {

class MemoryControl {
 public:
  // `loop` and `log` must outlive this object.
  MemoryControl(EventLoop& loop, Logger& log, std::size_t memory_limit_bytes);

  const MemoryLimits& limits() const { return limits_; }
  // The memory of the clients' connections, which is kept within its share.
  ClientMemory& clients() { return clients_; }
  const ClientMemory& clients() const { return clients_; }
  // Returns freed memory to the system whenever `account` has released much. `account` must not outlive this
  // object.
  void ReturnMemoryOf(MemoryAccount& account);

 private:
  void OnClientShareFull();

  Logger& log_;
  const MemoryLimits limits_;
  ClientMemory clients_;
  Timer return_timer_;
  std::chrono::steady_clock::time_point logged_at_{};
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_MEMORY_CONTROL_H_
