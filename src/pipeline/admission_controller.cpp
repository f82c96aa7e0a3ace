#include "pipeline/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sagetally {
namespace {

// The Retry-After time for clients that are rejected because the disk is full or because this process is
// draining or shutting down. The journal keeps checking whether a full disk has space again.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

// Rejection reasons, sent to clients in the response body.
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
    message.is_response_sent = false;
    if (dead_letters_ != nullptr) message.accepted_at = now;
    messages.push_back(&messages_.Add(std::move(message)));
  }
  return messages;
}

// Accepting new messages takes precedence over retaining completed messages for deduplication. If the record
// does not fit on the disk, retained messages are removed, oldest first, until it fits or none can be
// removed.
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

void AdmissionController::RespondToWaitingClients() {
  for (WaitingClient& client : std::exchange(waiting_clients_, {})) {
    if (IsDurable(client)) {
      Respond(client);
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

// Returns the message of a single-message submission if the policy rejected it before its first attempt, else
// null. The response then states the rejection, and no notification is due. A submission of several messages
// has only one response, so the client is notified of each of its rejected messages instead.
const Message* AdmissionController::FindShedMessage(const WaitingClient& client) {
  if (client.message_numbers.size() != 1) return nullptr;
  const Message* message = messages_.Find(client.message_numbers.front());
  if (message == nullptr || message->final_status != FinalStatus::kRejected || message->attempts != 0) {
    return nullptr;
  }
  return message;
}

void AdmissionController::Respond(const WaitingClient& client) {
  AdmissionResult result;
  ResponseOutcome outcome = ResponseOutcome::kAccepted;
  if (const Message* shed = FindShedMessage(client)) {
    result = {AdmissionStatus::kRejected, shed->retry_after, kShedReason};
    outcome = ResponseOutcome::kRejected;
  }
  if (!client.respond(result)) outcome = ResponseOutcome::kDisconnected;
  for (const std::uint64_t number : client.message_numbers) {
    if (Message* message = messages_.Find(number)) OnResponded(*message, outcome);
  }
}

void AdmissionController::OnResponded(Message& message, ResponseOutcome outcome) {
  message.is_response_sent = true;
  if (outcome == ResponseOutcome::kDisconnected && message.final_status == FinalStatus::kPending) {
    // The client has no response and will submit the message again, so this copy is withdrawn.
    router_.OnWithdrawn(message);
    completion_handler_.Complete(message, FinalStatus::kExpired);
    return;
  }
  if (outcome != ResponseOutcome::kAccepted && message.notification_pending) {
    // The client either learned the final status from the response, or has no response and will submit the
    // message again. In both cases neither a dead letter nor a notification is due.
    const std::uint64_t number = message.number;
    completion_handler_.OnDeadLettered(number);
    completion_handler_.OnNotificationAcknowledged(number);
    return;
  }
  completion_handler_.NotifyClient(message);
}

}  // namespace sagetally
