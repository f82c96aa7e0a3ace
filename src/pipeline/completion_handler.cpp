#include "pipeline/completion_handler.h"

#include <utility>
#include <vector>

namespace sagetally {

void CompletionHandler::Complete(Message& message, FinalStatus final_status, Duration retry_after) {
  if (message.final_status != FinalStatus::kPending) return;
  if (dead_letters_ != nullptr) {
    dead_letters_->BeforeCompletion(message, final_status);
  } else if (message.redrive_number != 0) {
    // The dead-letter store, which is switched off now, still has the redrive as claimed. It must learn its
    // end when it is back, or it would redrive the message again.
    message.dead_letter_pending = true;
  }
  messages_.Complete(message, final_status, retry_after, clock_.Now());
  journal_.AppendCompletion(message);
  if (metrics_ != nullptr) metrics_->RecordCompletion(message);
  if (message.client_answered) NotifyClient(message);
}

void CompletionHandler::NotifyClient(Message& message) {
  if (!journal_.IsDurable(message)) {
    awaiting_durability_.insert(message.number);
    return;
  }
  if (message.notification_pending) notifier_.Notify(message);
  PassToDeadLetters(message);
}

void CompletionHandler::PassToDeadLetters(Message& message) {
  const bool is_due = message.dead_letter_pending && message.final_status != FinalStatus::kPending &&
                      message.client_answered && !message.is_in_flight;
  // Without a store the message waits in the journal until dead letters are switched on again.
  if (is_due && dead_letters_ != nullptr) dead_letters_->Store(message);
  messages_.RemoveIfFinished(message);
}

void CompletionHandler::OnDeadLettered(std::uint64_t number) {
  Message* message = messages_.Find(number);
  if (message == nullptr || !message->dead_letter_pending) return;
  journal_.AppendDeadLettered(*message);
  messages_.MarkDeadLettered(*message);
}

void CompletionHandler::OnNoRecipient(std::uint64_t number) {
  if (Message* message = messages_.Find(number)) message->notification_pending = false;
}

void CompletionHandler::OnNotificationAcknowledged(std::uint64_t number) {
  Message* message = messages_.Find(number);
  if (message == nullptr || !message->notification_pending) return;
  message->notification_pending = false;
  journal_.AppendNotified(*message);
  messages_.RemoveIfFinished(*message);
}

void CompletionHandler::OnJournalProgress() {
  for (const std::uint64_t number : std::exchange(awaiting_durability_, {})) {
    if (Message* message = messages_.Find(number)) NotifyClient(*message);
  }
}

void CompletionHandler::ResumeNotifications() {
  // By number, since NotifyClient() may remove messages from the table.
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, message] : messages_.messages()) {
    if (message.notification_pending || message.dead_letter_pending) numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) NotifyClient(*messages_.Find(number));
}

}  // namespace sagetally
