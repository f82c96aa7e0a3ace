#include "admin/readiness.h"

namespace sagetally {

bool Readiness::IsAccepting(Time now) const {
  const bool last_ones = phase_ == Phase::kDraining || phase_ == Phase::kStopping;
  return phase_ == Phase::kServing || (last_ones && now < takes_until_);
}

void Readiness::OnStarted() {
  if (phase_ == Phase::kStarting) phase_ = paused_ ? Phase::kDraining : Phase::kServing;
}

bool Readiness::Pause(Time now) {
  if (phase_ > Phase::kDraining) return false;
  if (phase_ == Phase::kDraining || paused_) return true;
  paused_ = true;
  takes_until_ = now + kAcceptDuration;
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
  // What a pause has begun to end goes on ending; what another process serves is not ours to take.
  if (phase_ != Phase::kDraining) takes_until_ = phase_ == Phase::kServing ? now + kAcceptDuration : Time(0);
  phase_ = Phase::kStopping;
}

std::string Readiness::StatusWord(std::size_t held, std::size_t connections) const {
  switch (phase_) {
    case Phase::kStarting:
      return "starting";
    case Phase::kServing:
      return IsReady() ? "ready" : "serving, but the journal can't be written";
    case Phase::kDraining:
      return held + connections == 0 ? "drained" : "draining";
    case Phase::kHandedOver:
      return "handed over";
    case Phase::kStopping:
      break;
  }
  return "stopping";
}

}  // namespace sagetally
