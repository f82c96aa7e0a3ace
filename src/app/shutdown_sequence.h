// Ends a dispatcher's event loop in steps, after SIGTERM or once another process serves: as soon as nothing
// is pending, at the latest after a fixed time. All on the loop's thread.
#ifndef SAGETALLY_SRC_APP_SHUTDOWN_SEQUENCE_H_
#define SAGETALLY_SRC_APP_SHUTDOWN_SEQUENCE_H_

#include <functional>

#include "app/client_servers.h"
#include "net/event_loop.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

class ShutdownSequence {
 public:
  // The loop is broken at the latest this long after Begin. SIGKILL comes 3.7 s after SIGTERM at the soonest.
  static constexpr Duration kMaxDuration = std::chrono::milliseconds(3300);

  // `has_pending_work`: whether an outcome, an end or a notification is still to come. `servers` must outlive
  // this object.
  ShutdownSequence(EventLoop& loop, ClientServers& servers, std::function<bool()> has_pending_work);

  // After SIGTERM. At most once.
  void Begin();
  // Another process serves: only calls that are in flight here are still to be reported to it.
  void BeginAfterHandover();

  // To be called whenever pending work has become less. Does nothing before Begin and BeginAfterHandover.
  void ExitIfDone();
  // Whether Begin has been called.
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
