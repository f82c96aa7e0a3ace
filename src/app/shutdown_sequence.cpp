#include "app/shutdown_sequence.h"

#include <utility>

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// Time from SIGTERM until the listeners are closed. New connections arrive for 0.4 s at most.
constexpr Duration kListeningDuration = milliseconds(600);
// Time from the closing of the listeners until connections without a request are closed. By then a connected
// client has sent its request, or has timed out and disconnected.
constexpr Duration kFirstRequestTimeout = milliseconds(400);
// Delay from the completion of the last pending work to the end of the event loop.
constexpr Duration kExitDelay = milliseconds(20);

// Time limit after a handover for the calls that are in flight in this process.
constexpr Duration kMaxDurationAfterHandover = std::chrono::seconds(30);
// Delay after a handover from the last call's result to the end of the event loop, in which the successor
// reads the last results.
constexpr Duration kExitDelayAfterHandover = milliseconds(300);

}  // namespace

ShutdownSequence::ShutdownSequence(EventLoop& loop, ClientServers& servers,
                                   std::function<bool()> has_pending_work)
    : servers_(servers),
      has_pending_work_(std::move(has_pending_work)),
      stop_listening_timer_(loop, [this] { StopListening(); }),
      close_unused_timer_(loop, [this] { CloseUnusedConnections(); }),
      exit_timer_(loop, [&loop] { loop.Break(); }) {}

void ShutdownSequence::Begin() {
  is_requested_ = true;
  if (phase_ == Phase::kHandedOver) {
    exit_timer_.Schedule(kMaxDuration);
    return ExitIfDone();
  }
  phase_ = Phase::kShuttingDown;
  servers_.SetOnClosed([this] { ExitIfDone(); });
  servers_.CloseIdleConnections();
  stop_listening_timer_.Schedule(kListeningDuration);
  exit_timer_.Schedule(kMaxDuration);
}

void ShutdownSequence::StopListening() {
  // This timer must be scheduled first. StopListening() closes connections, ExitIfDone() is called for each,
  // and it would end the event loop if this timer were not pending.
  close_unused_timer_.Schedule(kFirstRequestTimeout);
  servers_.StopListening();
  ExitIfDone();
}

void ShutdownSequence::CloseUnusedConnections() {
  servers_.CloseUnusedConnections();
  ExitIfDone();
}

void ShutdownSequence::BeginAfterHandover() {
  phase_ = Phase::kHandedOver;
  exit_timer_.Schedule(kMaxDurationAfterHandover);
  ExitIfDone();
}

void ShutdownSequence::ExitIfDone() {
  if (phase_ == Phase::kServing) return;
  if (phase_ == Phase::kHandedOver) {
    if (!has_pending_work_()) exit_timer_.Schedule(kExitDelayAfterHandover);
    return;
  }
  // The exit waits, within the time limit, until every request that has arrived is answered and its client
  // has read the response.
  const bool may_get_requests = stop_listening_timer_.is_pending() || close_unused_timer_.is_pending();
  if (may_get_requests || servers_.connections() > 0 || has_pending_work_()) return;
  exit_timer_.Schedule(kExitDelay);
}

}  // namespace sagetally
