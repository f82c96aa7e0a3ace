// The state machine that decides whether this process accepts messages. It is shared by /healthz, the admin
// server, the SIGTERM handler and the process handover. It runs on the event loop's thread, receives the time
// from its callers and does no I/O.
#ifndef SAGETALLY_SRC_ADMIN_READINESS_H_
#define SAGETALLY_SRC_ADMIN_READINESS_H_

#include <cstddef>
#include <functional>
#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// Tracks the phase of the process, from start to shutdown.
class Readiness {
 public:
  // A process moves forward through the phases in this order and may skip some. The only step back is from
  // kDraining to kServing, when a drain is ended by Resume(). In kHandedOver another process has taken over
  // the pending messages, and this process only completes its calls in flight.
  enum class Phase { kStarting, kServing, kDraining, kHandedOver, kStopping };

  // Delay between a pause and the closing of clients' idle connections. The load balancer in front of this
  // process polls /healthz ten times a second and routes new connections here for 0.2 s more. A client whose
  // connection was closed earlier would reconnect to this process.
  static constexpr Duration kIdleCloseDelay = std::chrono::milliseconds(400);
  // Time after a pause or the start of a shutdown during which requests on open connections are still
  // accepted.
  static constexpr Duration kAcceptDuration = std::chrono::milliseconds(2000);

  Phase phase() const { return phase_; }
  // Returns whether /healthz reports this process as healthy.
  bool IsReady() const { return phase_ == Phase::kServing && (!can_record || can_record()); }
  // Returns whether the process closes each client connection after the next response on it.
  bool IsClosingConnections() const { return phase_ > Phase::kServing; }
  // Returns whether a message that arrives at `now` may be accepted. Other limits apply in addition to this
  // one.
  bool IsAccepting(Time now) const;

  // Leaves kStarting for kServing, or for kDraining if Pause() was called before. Has no effect in a later
  // phase.
  void OnStarted();
  // Starts a drain. Has no effect if a drain has already started. During kStarting the drain begins with
  // OnStarted(). Returns false if the process has been handed over or is stopping.
  bool Pause(Time now);
  // Ends a drain. Has no effect if the process is not draining. Returns false if the process has been handed
  // over or is stopping.
  bool Resume();
  // Records that another process has taken over the pending messages. Has no effect during a shutdown.
  void HandOver();
  // Starts the shutdown. A second call has no effect.
  void Stop(Time now);

  // Returns the status text that the admin server sends. A draining process reports "drained" as soon as it
  // has neither pending messages nor client connections.
  std::string StatusText(std::size_t pending_messages, std::size_t connections) const;

  // Returns whether accepted messages can be written to the journal. If it is not set, they can always be
  // written.
  std::function<bool()> can_record;

 private:
  Phase phase_ = Phase::kStarting;
  bool paused_ = false;   // in kStarting: whether OnStarted() begins a drain
  Time accept_until_{0};  // while draining or stopping, the end of the time in which requests are accepted
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_READINESS_H_
