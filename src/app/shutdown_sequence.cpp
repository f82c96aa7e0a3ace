#include "app/shutdown_sequence.h"

#include <utility>

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// After SIGTERM new connections come for 0.4 s at most.
constexpr Duration kListeningDuration = milliseconds(600);
// A client that has connected by then sends its request at once, or has lost patience and left.
constexpr Duration kFirstRequestTimeout = milliseconds(400);
constexpr Duration kExitDelay = milliseconds(20);

// Once another process serves: for the calls that are in flight here, and for the last results to be read.
constexpr Duration kMaxDurationAfterHandover = std::chrono::seconds(30);
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
  close_unused_timer_.Schedule(kFirstRequestTimeout);  // first: a connection that closes may end the process
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
  // A request that has come is answered, and its answer read, as far as the time allows.
  const bool may_get_requests = stop_listening_timer_.is_pending() || close_unused_timer_.is_pending();
  if (may_get_requests || servers_.connections() > 0 || has_pending_work_()) return;
  exit_timer_.Schedule(kExitDelay);
}

}  // namespace sagetally
