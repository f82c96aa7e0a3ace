#include "admin/readiness.h"

namespace sagetally {

bool Readiness::IsAccepting(Time now) const {
  if (phase_ == Phase::kServing) return true;
  const bool in_grace_period = phase_ == Phase::kDraining || phase_ == Phase::kStopping;
  return in_grace_period && now < accept_until_;
}

void Readiness::OnStarted() {
  if (phase_ == Phase::kStarting) phase_ = paused_ ? Phase::kDraining : Phase::kServing;
}

bool Readiness::Pause(Time now) {
  if (phase_ > Phase::kDraining) return false;
  if (phase_ == Phase::kDraining || paused_) return true;
  paused_ = true;
  accept_until_ = now + kAcceptDuration;
  if (phase_ == Phase::kServing) phase_ = Phase::kDraining;
  return true;
}

bool Readiness::Resume() {
  if (phase_ > Phase::kDraining) return false;
  paused_ = false;
  if (phase_ == Phase::kDraining) phase_ = Phase::kServing;
  return true;
}

void Readiness::HandOver() {
  if (phase_ < Phase::kHandedOver) phase_ = Phase::kHandedOver;
}

void Readiness::Stop(Time now) {
  if (phase_ == Phase::kStopping) return;
  // A drain that has already started keeps its time limit. In kStarting and kHandedOver no requests are
  // accepted during the shutdown; after a handover they belong to the other process.
  if (phase_ == Phase::kServing) {
    accept_until_ = now + kAcceptDuration;
  } else if (phase_ != Phase::kDraining) {
    accept_until_ = Time(0);
  }
  phase_ = Phase::kStopping;
}

std::string Readiness::StatusText(std::size_t pending_messages, std::size_t connections) const {
  switch (phase_) {
    case Phase::kStarting:
      return "starting";
    case Phase::kServing:
      return IsReady() ? "ready" : "serving, but the journal can't be written";
    case Phase::kDraining:
      return pending_messages + connections == 0 ? "drained" : "draining";
    case Phase::kHandedOver:
      return "handed over";
    case Phase::kStopping:
      break;
  }
  return "stopping";
}

}  // namespace sagetally
