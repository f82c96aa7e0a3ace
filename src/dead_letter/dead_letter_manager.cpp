#include "dead_letter/dead_letter_manager.h"

#include <algorithm>
#include <utility>

namespace sagetally::dead_letter {

DeadLetterManager::DeadLetterManager(Settings settings, JobRunner& jobs, MessageTable& messages,
                                     const Clock& clock, Logger& log,
                                     std::function<void(Duration)> schedule_wakeup)
    : context_{.settings = std::move(settings),
               .jobs = jobs,
               .messages = messages,
               .clock = clock,
               .log = log,
               .on_store_error = [this](const JobError& error) { OnStoreError(error); },
               .request_reconciliation = [this] { reconciliation_.Invalidate(); },
               .run_due_work = [this] { RunDueWork(); }},
      schedule_wakeup_(std::move(schedule_wakeup)),
      health_(context_),
      resubmissions_(context_),
      transfers_(context_, health_,
                 [this] {
                   redrives_.ReviewSoon();
                   RunDueWork();
                 }),
      redrives_(context_, health_, resubmissions_),
      reconciliation_(context_, health_, resubmissions_, redrives_) {
  // Numbers identify dead letters permanently. Starting at the present time in microseconds avoids numbers
  // that were assigned before, even if the journal has dropped their messages.
  const std::int64_t now = clock.Now().count();
  messages.SkipNumbersBelow(static_cast<std::uint64_t>(std::max<std::int64_t>(1, now)));
}

void DeadLetterManager::Start(Pipeline pipeline, bool journal_lost) {
  context_.pipeline = std::move(pipeline);
  reconciliation_.SetJournalLost(journal_lost);
  is_started_ = true;
  for (const auto& [number, message] : context_.messages.messages()) AdoptPending(message);
  RunDueWork();
}

void DeadLetterManager::AdoptPending(const Message& message) {
  if (message.redrive_number != 0) {
    if (message.final_status == FinalStatus::kPending) redrives_.AdoptRedrive(message);
    return;
  }
  // The message may have been accepted just before the previous process ended, so that the store has not
  // recorded the resubmission yet.
  if (const std::optional<std::uint64_t> identity = IdentityOf(message.request)) {
    resubmissions_.Add(*identity, message.number);
  }
}

void DeadLetterManager::SetRules(std::shared_ptr<const RuleSet> rules, const std::string& text) {
  redrives_.SetRules(std::move(rules), text);
  RunDueWork();
}

void DeadLetterManager::ScheduleReview() {
  redrives_.ReviewAllSoon();
  RunDueWork();
}

void DeadLetterManager::ScheduleWakeupAt(Time time) {
  schedule_wakeup_(std::max(Duration(0), time - context_.clock.Now()));
}

void DeadLetterManager::RunDueWork() {
  if (!is_started_) return;
  const Time now = context_.clock.Now();
  if (now < health_.retry_at()) return ScheduleWakeupAt(health_.retry_at());
  if (!reconciliation_.is_done()) reconciliation_.Start();
  transfers_.StartTransfer();
  Time next = Time::max();
  if (reconciliation_.is_done()) {
    resubmissions_.StartRecording();
    redrives_.RunDueWork();
    next = redrives_.NextRunAt();
  }
  if (now < health_.retry_at()) next = health_.retry_at();
  if (next != Time::max()) ScheduleWakeupAt(next);
}

void DeadLetterManager::OnStoreError(const JobError& error) {
  health_.OnFailure(error, pending_transfers());
  if (error.file_replaced) reconciliation_.Invalidate();
}

bool DeadLetterManager::IsToBeStored(const Message& message, FinalStatus status) const {
  if (message.redrive_number != 0) return true;
  if (status == FinalStatus::kFailed) return context_.settings.include_undeliverable;
  return status == FinalStatus::kRejected && context_.settings.include_deferred;
}

void DeadLetterManager::BeforeCompletion(Message& message, enum FinalStatus status) {
  const ReviewSettings& review = *context_.settings.review;
  const ClassSettings& settings = review.classes[static_cast<std::size_t>(message.request.message_class)];
  if (status == FinalStatus::kFailed || status == FinalStatus::kRejected) {
    message.failure_reason =
        DetermineFailureReason(message, settings, review.policy.max_attempts, context_.clock.Now());
    if (forbidden_after_restart_.erase(message.number) > 0) {
      message.failure_reason = FailureReason::kRedriveForbiddenAfterRestart;
    }
  }
  message.dead_letter_pending = IsToBeStored(message, status);
}

void DeadLetterManager::Store(const Message& message) {
  if (transfers_.Contains(message.number)) return;
  Time not_before{0};
  if (message.redrive_number != 0) {
    not_before = redrives_.OnRedriveCompleted(message);
  } else if (const std::optional<std::uint64_t> identity = IdentityOf(message.request)) {
    resubmissions_.AddRedrivable(*identity);
  }
  transfers_.Add(message, not_before);
  RunDueWork();
}

void DeadLetterManager::OnAccepted(const Message& message) {
  const std::optional<std::uint64_t> identity = IdentityOf(message.request);
  if (!identity) return;
  // Until the store is reconciled, any message may be the resubmission of a dead letter.
  if (reconciliation_.is_done() && !resubmissions_.IsRedrivable(*identity)) return;
  resubmissions_.Add(*identity, message.number);
  RunDueWork();
}

bool DeadLetterManager::IsBeingRedriven(const Request& request) const {
  if (redrives_.identity_count() == 0) return false;
  const std::optional<std::uint64_t> identity = IdentityOf(request);
  return identity && redrives_.IsRedriving(*identity);
}

void DeadLetterManager::OnCallCompleted(const Message& message, const CallResult& result) {
  redrives_.OnCallCompleted(message, result);
}

bool DeadLetterManager::MayContinueAfterRestart(const Message& message) {
  if (message.attempts == 0 || !message.first_uncertain_attempt) return true;
  const ReviewSettings& review = *context_.settings.review;
  DeadLetter dead_letter = FromMessage(message, context_.settings.node, context_.ClassNameOf(message),
                                       context_.PriorityWeightOf(message));
  dead_letter.final_status = FinalStatus::kFailed;
  RedrivePolicySettings policy = review.policy;
  // The dispatch policy limits the attempts, so the limit does not apply here.
  policy.max_attempts = message.attempts + 1;
  const ClassSettings& settings = review.classes[static_cast<std::size_t>(message.request.message_class)];
  const RedriveDecisionResult decision =
      DecideRedrive(dead_letter, &settings, policy, context_.clock.CurrentTimestamp());
  const bool is_forbidden =
      message.redrive_number != 0
          ? decision.decision == RedriveDecision::kForbidden
          : !message.history.empty() && decision.reason == DecisionReason::kClockUncertain;
  if (is_forbidden) forbidden_after_restart_.insert(message.number);
  return !is_forbidden;
}

}  // namespace sagetally::dead_letter
