// Whether this process serves: one state machine behind /healthz, the admin server, SIGTERM and the process
// handover. Called on the event loop's thread; times come from the caller. No I/O.
#ifndef SAGETALLY_SRC_ADMIN_READINESS_H_
#define SAGETALLY_SRC_ADMIN_READINESS_H_

#include <cstddef>
#include <functional>
#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// The phases of a process's life, from start to shutdown.
class Readiness {
 public:
  // In order: a process goes forward through them, except that a drain can be resumed. kHandedOver: another
  // process has taken over the pending messages, and this one only completes the calls it has in flight.
  enum class Phase { kStarting, kServing, kDraining, kHandedOver, kStopping };

  // Delay from a pause to the closing of clients' idle connections. The load balancer in front polls /healthz
  // ten times a second and sends new connections for 0.2 s more; a client closed upon earlier would come back
  // here.
  static constexpr Duration kIdleCloseDelay = std::chrono::milliseconds(400);
  // Time from a pause or a shutdown during which requests on open connections are still accepted.
  static constexpr Duration kAcceptDuration = std::chrono::milliseconds(2000);

  Phase phase() const { return phase_; }
  // Whether /healthz reports this process as healthy.
  bool IsReady() const { return phase_ == Phase::kServing && (!can_record || can_record()); }
  // Whether each response is the last one on its connection.
  bool IsClosingConnections() const { return phase_ > Phase::kServing; }
  // Whether a message that arrives at `now` may be accepted; other limits apply beside this one.
  bool IsAccepting(Time now) const;

  // Ends kStarting, and has no effect in a later phase. A pause that came before takes effect now.
  void OnStarted();
  // Starts a drain; a second call has no effect. Returns false if the process has been handed over or is
  // stopping.
  bool Pause(Time now);
  // Ends a drain; a second call has no effect. Returns false if the process has been handed over or is
  // stopping.
  bool Resume();
  // Another process has taken over.
  void HandOver();
  // Starts the shutdown; a second call has no effect.
  void Stop(Time now);

  // The status in the words of the admin server. A drain is "drained" once there are neither pending messages
  // nor connections of clients.
  std::string StatusWord(std::size_t pending_messages, std::size_t connections) const;

  // Whether accepted messages can be written to the journal; if not set, they can.
  std::function<bool()> can_record;

 private:
  Phase phase_ = Phase::kStarting;
  bool paused_ = false;   // while starting: whether to drain at once
  Time accept_until_{0};  // while draining or stopping
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_READINESS_H_
