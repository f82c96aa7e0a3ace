#include "pipeline/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sagetally {
namespace {

// Stated to clients that are rejected because the disk is full, which is tried again all the time, or because
// this process is draining or shutting down.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

// Reasons as clients get them, in the response's body.
constexpr char kDrainingReason[] = "draining";
constexpr char kTableFullReason[] = "all places are taken";
constexpr char kDiskFullReason[] = "no room on disk";
constexpr char kShedReason[] = "no room";

}  // namespace

void AdmissionController::Accept(std::vector<Request> requests, AdmissionCallback respond) {
  if (!IsAccepting()) {
    Reject(requests, respond, {AdmissionStatus::kShuttingDown, kRetryAfter, kDrainingReason});
    return;
  }
  if (!HasCapacityFor(requests.size())) {
    Reject(requests, respond, {AdmissionStatus::kRejected, Duration(0), kTableFullReason});
    return;
  }
  const std::vector<const Message*> messages = AddMessages(std::move(requests));
  if (!AppendToJournal(messages)) {
    RejectUnrecorded(messages, respond);
    return;
  }
  WaitingClient client;
  for (const Message* message : messages) {
    if (dead_letters_ != nullptr) dead_letters_->OnAccepted(*message);
    router_.OnAccepted(*message);
    client.message_numbers.push_back(message->number);
  }
  client.respond = std::move(respond);
  waiting_clients_.push_back(std::move(client));
}

bool AdmissionController::HasCapacityFor(std::size_t message_count) const {
  return messages_.pending_count() + static_cast<int>(message_count) <= max_pending_messages_;
}

std::vector<const Message*> AdmissionController::AddMessages(std::vector<Request> requests) {
  const Time now = clock_.Now();
  std::vector<const Message*> messages;
  for (Request& request : requests) {
    Message message;
    message.deadline = now + request.time_left;
    message.request = std::move(request);
    message.client_answered = false;
    if (dead_letters_ != nullptr) message.accepted_at = now;
    messages.push_back(&messages_.Add(std::move(message)));
  }
  return messages;
}

// New messages go before ended ones that are retained for deduplication only: these are removed, oldest
// first, until the record fits on the disk.
bool AdmissionController::AppendToJournal(const std::vector<const Message*>& messages) {
  bool is_recorded = journal_.AppendAccepted(messages);
  while (!is_recorded && messages_.RemoveOldestRetained()) is_recorded = journal_.AppendAccepted(messages);
  return is_recorded;
}

void AdmissionController::RejectUnrecorded(const std::vector<const Message*>& messages,
                                           const AdmissionCallback& respond) {
  for (const Message* message : messages) {
    if (metrics_ != nullptr) metrics_->RecordRejection(message->request.message_class);
  }
  for (const Message* message : messages) messages_.Remove(message->number);
  respond({AdmissionStatus::kRejected, kRetryAfter, kDiskFullReason});
}

void AdmissionController::Reject(const std::vector<Request>& requests, const AdmissionCallback& respond,
                                 const AdmissionResult& result) {
  for (const Request& request : requests) {
    if (metrics_ != nullptr) metrics_->RecordRejection(request.message_class);
  }
  respond(result);
}

bool AdmissionController::AcceptRedrive(Message message) {
  if (!IsAccepting() || !HasCapacityFor(1)) return false;
  const Message& added = messages_.Add(std::move(message));
  const Message* const messages[] = {&added};
  if (!journal_.AppendAccepted(messages)) {
    messages_.Remove(added.number);
    return false;
  }
  router_.OnAccepted(added);
  return true;
}

void AdmissionController::AnswerWaitingClients() {
  for (WaitingClient& client : std::exchange(waiting_clients_, {})) {
    if (IsDurable(client)) {
      Answer(client);
    } else {
      waiting_clients_.push_back(std::move(client));
    }
  }
}

bool AdmissionController::IsDurable(const WaitingClient& client) {
  return std::all_of(client.message_numbers.begin(), client.message_numbers.end(),
                     [this](std::uint64_t number) {
                       const Message* message = messages_.Find(number);
                       return message == nullptr || journal_.IsDurable(*message);
                     });
}

// The single message of the submission if the policy rejected it before any attempt: the response states
// that, and no notification is due. A submission of several messages has one response, so each of them is
// notified.
const Message* AdmissionController::FindShedMessage(const WaitingClient& client) {
  if (client.message_numbers.size() != 1) return nullptr;
  const Message* message = messages_.Find(client.message_numbers.front());
  if (message == nullptr || message->final_status != FinalStatus::kRejected || message->attempts != 0) {
    return nullptr;
  }
  return message;
}

void AdmissionController::Answer(const WaitingClient& client) {
  AdmissionResult result;
  ClientKnowledge knowledge = ClientKnowledge::kAccepted;
  if (const Message* shed = FindShedMessage(client)) {
    result = {AdmissionStatus::kRejected, shed->retry_after, kShedReason};
    knowledge = ClientKnowledge::kRejected;
  }
  if (!client.respond(result)) knowledge = ClientKnowledge::kDisconnected;
  for (const std::uint64_t number : client.message_numbers) {
    if (Message* message = messages_.Find(number)) OnAnswered(*message, knowledge);
  }
}

void AdmissionController::OnAnswered(Message& message, ClientKnowledge knowledge) {
  message.client_answered = true;
  if (knowledge == ClientKnowledge::kDisconnected && message.final_status == FinalStatus::kPending) {
    // Without a response the client submits the message again: this copy is withdrawn.
    router_.OnWithdrawn(message);
    completion_handler_.Complete(message, FinalStatus::kExpired);
    return;
  }
  if (knowledge != ClientKnowledge::kAccepted && message.notification_pending) {
    // The client knows the end, or submits the message again: neither a dead letter nor a notification is
    // due.
    const std::uint64_t number = message.number;
    completion_handler_.OnDeadLettered(number);
    completion_handler_.OnNotificationAcknowledged(number);
    return;
  }
  completion_handler_.NotifyClient(message);
}

}  // namespace sagetally
