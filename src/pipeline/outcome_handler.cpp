#include "pipeline/outcome_handler.h"

#include <utility>
#include <vector>

#include "core/policy_message_id.h"

namespace sagetally {

void OutcomeHandler::OnCallResult(const CallResult& result) {
  Message* message = messages_.Find(result.message_number);
  if (message == nullptr || !message->is_in_flight) return;
  if (message->is_delivery_unconfirmed) {
    messages_.SetDeliveryUnconfirmed(*message, false);
    if (result.outcome == Outcome::kOk) return OnDeliveryConfirmed(*message, result);
    return OnDeliveryRevoked(*message, result);
  }
  UpdateMessage(*message, result);
  if (dead_letters_ != nullptr) dead_letters_->OnCallCompleted(*message, result);
  attempt_history_.Add(ToCompletedAttempt(*message, result));

  AttemptCompleted event = ToPolicyEvent(*message, result);
  const bool was_completed = message->final_status != FinalStatus::kPending;
  const bool completes_now = !was_completed && (result.outcome == Outcome::kOk || result.message_expired);
  event.message_ended = was_completed || completes_now;
  if (!event.message_ended) journal_.AppendOutcome(*message, result.outcome);
  router_.QueueEvent(std::move(event));

  if (was_completed) {
    completion_handler_.PassToDeadLetters(*message);
  } else if (completes_now) {
    const bool is_delivered = result.outcome == Outcome::kOk;
    completion_handler_.Complete(*message, is_delivered ? FinalStatus::kDelivered : FinalStatus::kExpired);
  }
}

void OutcomeHandler::OnProvisionalResult(const CallResult& result) {
  Message* message = messages_.Find(result.message_number);
  if (message == nullptr || !message->is_in_flight || message->is_delivery_unconfirmed) return;
  if (result.outcome == Outcome::kOk && message->final_status == FinalStatus::kPending) {
    // The number of redrives at a time is limited until their completion, so they don't wait for certainty.
    if (message->redrive_number != 0) return OnCallResult(result);
    messages_.SetDeliveryUnconfirmed(*message, true);
    attempt_history_.Add(ToCompletedAttempt(*message, result));
    AttemptCompleted event = ToPolicyEvent(*message, result);
    event.message_ended = true;
    router_.QueueEvent(std::move(event));
    return;
  }
  if (result.retry_after <= Duration(0)) return;
  router_.QueueEvent(
      RetryAfterReceived{ToPolicyMessageId(message->number), message->attempts - 1, result.retry_after});
}

void OutcomeHandler::ConfirmDeliveries() {
  if (messages_.unconfirmed_count() == 0) return;
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, message] : messages_.messages()) {
    if (message.is_delivery_unconfirmed) numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    CallResult result;
    result.message_number = number;
    OnCallResult(result);
  }
}

void OutcomeHandler::OnDeliveryConfirmed(Message& message, const CallResult& result) {
  UpdateMessage(message, result);
  if (dead_letters_ != nullptr) dead_letters_->OnCallCompleted(message, result);
  completion_handler_.Complete(message, FinalStatus::kDelivered);
}

// The response was a repeat of an earlier one, so the message may have run and is given back to the policy.
void OutcomeHandler::OnDeliveryRevoked(Message& message, const CallResult& result) {
  UpdateMessage(message, result);
  if (dead_letters_ != nullptr) dead_letters_->OnCallCompleted(message, result);
  journal_.AppendOutcome(message, result.outcome);
  router_.OnAccepted(message);
}

void OutcomeHandler::UpdateMessage(Message& message, const CallResult& result) const {
  message.is_in_flight = false;
  if (MayHaveRun(result.outcome) && !message.first_uncertain_attempt) {
    message.first_uncertain_attempt = message.in_flight_since;
    message.first_uncertain_endpoint = message.in_flight_endpoint;
  }
  if (!message.history.empty()) {
    message.history.back().outcome = result.outcome;
    message.history.back().retry_after = result.retry_after;
  }
}

CompletedAttempt OutcomeHandler::ToCompletedAttempt(const Message& message, const CallResult& result) const {
  CompletedAttempt attempt;
  attempt.sent_at = message.in_flight_since;
  attempt.completed_at = clock_.Now();
  attempt.deadline = message.deadline;
  attempt.destination = message.request.destination;
  attempt.message_class = message.request.message_class;
  attempt.attempts = message.attempts;
  attempt.endpoint = message.in_flight_endpoint;
  attempt.outcome = result.outcome;
  attempt.retry_after = result.retry_after;
  attempt.load_report = result.load_report;
  return attempt;
}

AttemptCompleted OutcomeHandler::ToPolicyEvent(const Message& message, const CallResult& result) const {
  AttemptCompleted event;
  event.id = ToPolicyMessageId(message.number);
  event.attempt = message.attempts - 1;
  event.outcome = result.outcome;
  event.latency = clock_.Now() - message.in_flight_since;
  event.retry_after = result.retry_after;
  event.load_report = result.load_report;
  return event;
}

}  // namespace sagetally
