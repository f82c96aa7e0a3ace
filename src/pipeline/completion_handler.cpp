#include "pipeline/completion_handler.h"

#include <utility>
#include <vector>

namespace sagetally {

void CompletionHandler::Complete(Message& message, FinalStatus final_status, Duration retry_after) {
  if (message.final_status != FinalStatus::kPending) return;
  if (dead_letters_ != nullptr) {
    dead_letters_->BeforeCompletion(message, final_status);
  } else if (message.redrive_number != 0) {
    // Dead letters are disabled at present, but the store still has this redrive on record as claimed. The
    // store must be told the final status once dead letters are enabled again, or else it would redrive the
    // message once more.
    message.dead_letter_pending = true;
  }
  messages_.Complete(message, final_status, retry_after, clock_.Now());
  journal_.AppendCompletion(message);
  if (metrics_ != nullptr) metrics_->RecordCompletion(message);
  if (message.is_response_sent) NotifyClient(message);
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
                      message.is_response_sent && !message.is_in_flight;
  // If dead letters are disabled, the message stays in the journal until they are enabled again.
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
  // Collects the numbers first, because NotifyClient() may remove messages from the table.
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, message] : messages_.messages()) {
    if (message.notification_pending || message.dead_letter_pending) numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) NotifyClient(*messages_.Find(number));
}

}  // namespace sagetally
