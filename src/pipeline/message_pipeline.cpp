#include "pipeline/message_pipeline.h"

#include <vector>

namespace sagetally {

MessagePipeline::MessagePipeline(const SiteSettings& site, std::uint64_t seed, MessageTable& messages,
                                 Journal& journal, EndpointClient& endpoint_client, Notifier& notifier,
                                 Scheduler& scheduler, const Clock& clock, DeadLetterSink* dead_letters,
                                 MetricsRecorder* metrics)
    : completion_handler(messages, journal, notifier, clock, dead_letters, metrics),
      attempt_sender(site.policy.classes, messages, journal, endpoint_client, clock, dead_letters != nullptr,
                     [this](const CallResult& result) { outcome_handler.OnCallResult(result); }),
      router(DispatchPolicy(site.policy, seed), messages, attempt_sender, completion_handler, endpoint_client,
             scheduler, clock),
      outcome_handler(messages, journal, router, completion_handler, clock, dead_letters, attempt_history),
      admission_controller(messages, journal, router, completion_handler, clock, site.policy, dead_letters,
                           metrics),
      request_validator(site, messages, router, admission_controller, clock, dead_letters),
      messages_(messages),
      dead_letters_(dead_letters) {
  admission_controller.make_room = [this] { outcome_handler.ConfirmDeliveries(); };
}

void MessagePipeline::ResumeAfterRestart() {
  messages_.MinimizeRetained();
  std::vector<std::uint64_t> forbidden;
  for (const auto& [number, message] : messages_.messages()) {
    // After a handover, a call may still be in flight in the predecessor. Its result arrives like any other.
    if (message.final_status != FinalStatus::kPending || message.is_in_flight) continue;
    if (MayContinueAfterRestart(message)) {
      router.OnAccepted(message);
    } else {
      forbidden.push_back(number);
    }
  }
  for (const std::uint64_t number : forbidden) {
    completion_handler.Complete(*messages_.Find(number), FinalStatus::kFailed);
  }
  completion_handler.ResumeNotifications();
}

bool MessagePipeline::MayContinueAfterRestart(const Message& message) const {
  if (message.request.message_class == kUnknownClass) return false;
  return dead_letters_ == nullptr || dead_letters_->MayContinueAfterRestart(message);
}

void MessagePipeline::OnJournalProgress() {
  completion_handler.OnJournalProgress();
  admission_controller.RespondToWaitingClients();
  attempt_sender.StartDueCalls();
}

void MessagePipeline::RunPolicy() {
  router.RunPolicy();
  admission_controller.RespondToWaitingClients();
  attempt_sender.StartDueCalls();
}

WaitingWork MessagePipeline::CountWaitingWork() const {
  return {admission_controller.waiting_client_count(), attempt_sender.waiting_attempt_count(),
          completion_handler.waiting_completion_count()};
}

}  // namespace sagetally
