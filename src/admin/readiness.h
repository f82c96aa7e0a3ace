// Whether this process is ready to serve, and why not: one state machine that /healthz, the operators' door,
// SIGTERM and the upgrade ask. No I/O; times come from the caller.
#ifndef SAGETALLY_SRC_ADMIN_READINESS_H_
#define SAGETALLY_SRC_ADMIN_READINESS_H_

#include <cstddef>
#include <functional>
#include <string>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

class Readiness {
 public:
  // kHandedOver: another process has taken over all that is held; this one only ends what it has begun.
  enum class Phase { kStarting, kServing, kDraining, kHandedOver, kStopping };

  // After a pause: clients' idle connections are closed then. The front asks ten times a second and sends new
  // connections for 0.2 s more; a client closed upon earlier would come back here.
  static constexpr Duration kIdleCloseDelay = std::chrono::milliseconds(400);
  // After a pause, or SIGTERM: requests that still come are refused from then on.
  static constexpr Duration kAcceptDuration = std::chrono::milliseconds(2000);

  Phase phase() const { return phase_; }
  bool IsReady() const { return phase_ == Phase::kServing && (!can_record || can_record()); }
  // Whether each answer is the last one of its connection.
  bool IsClosingConnections() const { return phase_ > Phase::kServing; }
  // Whether a message that comes now is taken on (under the other rules for that).
  bool IsAccepting(Time now) const;

  void OnStarted();      // only from kStarting; a pause that came before holds
  bool Pause(Time now);  // false: it is ending, and the call is an error. Twice is as once.
  bool Resume();         // likewise
  void HandOver();
  void Stop(Time now);  // twice is as once

  // In one word, with what is held while draining: "drained" once that and the connections are none.
  std::string StatusWord(std::size_t held, std::size_t connections) const;

  // Whether what is taken on can be put on record; absent: it can.
  std::function<bool()> can_record;

 private:
  Phase phase_ = Phase::kStarting;
  bool paused_ = false;  // before it had started
  Time takes_until_{0};  // while draining or stopping
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_READINESS_H_
