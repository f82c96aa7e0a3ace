// Ends the event loop of a dispatcher in several steps, after SIGTERM or once another process serves. The
// loop is broken as soon as no work is pending, and at the latest after a fixed time. Owned by the
// Dispatcher; used on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_SHUTDOWN_SEQUENCE_H_
#define SAGETALLY_SRC_APP_SHUTDOWN_SEQUENCE_H_

#include <functional>

#include "app/client_servers.h"
#include "net/event_loop.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// The timers and the state of the shutdown.
class ShutdownSequence {
 public:
  // The longest time from Begin() until the event loop is broken. SIGKILL comes 3.7 s after SIGTERM at the
  // earliest.
  static constexpr Duration kMaxDuration = std::chrono::milliseconds(3300);

  // `has_pending_work` returns whether an outcome, a completion or a notification is pending. `loop` and
  // `servers` must outlive this object.
  ShutdownSequence(EventLoop& loop, ClientServers& servers, std::function<bool()> has_pending_work);

  // Starts the shutdown after SIGTERM. Must be called at most once.
  void Begin();
  // Starts the shutdown once another process serves. Only the results of the calls that are in flight in this
  // process remain to be reported to it.
  void BeginAfterHandover();

  // Breaks the event loop, after a short delay, if no work is pending and, after Begin(), no client can send
  // a request any more. Must be called whenever a piece of work has been completed. Does nothing before
  // Begin() or BeginAfterHandover().
  void ExitIfDone();
  // Returns whether Begin() has been called.
  bool is_requested() const { return is_requested_; }

 private:
  enum class Phase { kServing, kShuttingDown, kHandedOver };
  void StopListening();
  void CloseUnusedConnections();

  ClientServers& servers_;
  const std::function<bool()> has_pending_work_;
  Timer stop_listening_timer_;
  Timer close_unused_timer_;
  Timer exit_timer_;
  Phase phase_ = Phase::kServing;
  bool is_requested_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_SHUTDOWN_SEQUENCE_H_
