#include "pipeline/duplicate_detector.h"

namespace sagetally {
namespace {

constexpr char kRejectedBeforeReason[] = "rejected before";
constexpr char kWithdrawnReason[] = "its client had gone before";

AdmissionResult RepeatedResult(SubmissionOutcome outcome) {
  AdmissionResult result;
  result.is_repeat = true;
  switch (outcome) {
    case SubmissionOutcome::kAccepted:
      break;
    case SubmissionOutcome::kRejected:
      result.status = AdmissionStatus::kRejected;
      result.reason = kRejectedBeforeReason;
      break;
    case SubmissionOutcome::kShuttingDown:
      result.status = AdmissionStatus::kShuttingDown;
      result.reason = kRejectedBeforeReason;
      break;
    case SubmissionOutcome::kWithdrawn:
      result.status = AdmissionStatus::kWithdrawn;
      result.reason = kWithdrawnReason;
      break;
  }
  return result;
}

}  // namespace

std::optional<EarlierSubmission> DuplicateDetector::Find(const Request& request) {
  const Message* message = messages_.FindDuplicate(request);
  if (message != nullptr && !message->is_response_sent) return EarlierSubmission{message->number, {}};
  if (request.protocol == IngressProtocol::kPlatform) {
    const bool is_pending = message != nullptr && message->final_status == FinalStatus::kPending;
    if (!is_pending) return FindInHistory(request);
  } else if (message == nullptr || message->final_status == FinalStatus::kRejected) {
    return std::nullopt;
  }
  return EarlierSubmission{std::nullopt, RepeatedResult(SubmissionOutcome::kAccepted)};
}

std::optional<EarlierSubmission> DuplicateDetector::FindInHistory(const Request& request) {
  const Time now = clock_.Now();
  const std::optional<RememberedId> remembered = messages_.id_history().Find(request, now);
  if (!remembered) return std::nullopt;
  const bool may_client_wait = now - remembered->remembered_at < kClientTimeout;
  if (remembered->outcome == SubmissionOutcome::kWithdrawn && may_client_wait) {
    messages_.id_history().Forget(request);
    return std::nullopt;
  }
  return EarlierSubmission{std::nullopt, RepeatedResult(remembered->outcome)};
}

}  // namespace sagetally
