#include "pipeline/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace sagetally {
namespace {

// The Retry-After time for clients that are rejected because the disk is full or because this process is
// draining or shutting down. The journal keeps checking whether a full disk has space again.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

// Rejection reasons, sent to clients in the response body.
constexpr char kDrainingReason[] = "draining";
constexpr char kTableFullReason[] = "all places are taken";
constexpr char kMemoryFullReason[] = "no memory for more messages";
constexpr char kClientShareReason[] = "the other places are kept for other clients";
constexpr char kDiskFullReason[] = "no room on disk";
constexpr char kTooManyIdsReason[] = "too many ids to remember";
constexpr char kShedReason[] = "no room";

}  // namespace

void AdmissionController::Accept(std::vector<Request> requests, std::vector<std::uint64_t> awaited,
                                 AdmissionCallback respond, std::uint64_t client) {
  if (requests.empty()) {
    waiting_clients_.push_back({std::move(awaited), std::move(respond), true});
    return;
  }
  if (!IsAccepting()) {
    Reject(requests, respond, {AdmissionStatus::kShuttingDown, kRetryAfter, kDrainingReason});
    return;
  }
  if (!HasCapacityFor(requests.size())) {
    Reject(requests, respond, {AdmissionStatus::kRejected, Duration(0), kTableFullReason});
    return;
  }
  if (!IsWithinClientShare(client, requests.size())) {
    Reject(requests, respond, {AdmissionStatus::kRejected, Duration(0), kClientShareReason});
    return;
  }
  if (!MakeMemoryFor(requests)) {
    Reject(requests, respond, {AdmissionStatus::kRejected, Duration(0), kMemoryFullReason});
    return;
  }
  if (messages_.id_history().IsFull(clock_.Now())) {
    Reject(requests, respond, {AdmissionStatus::kRejected, kRetryAfter, kTooManyIdsReason});
    return;
  }
  const std::vector<const Message*> messages = AddMessages(std::move(requests), client);
  if (!AppendToJournal(messages)) {
    RejectUnrecorded(messages, respond);
    return;
  }
  std::vector<std::uint64_t> numbers;
  for (const Message* message : messages) {
    if (dead_letters_ != nullptr) dead_letters_->OnAccepted(*message);
    router_.OnAccepted(*message);
    numbers.push_back(message->number);
  }
  numbers.insert(numbers.end(), awaited.begin(), awaited.end());
  waiting_clients_.push_back({std::move(numbers), std::move(respond), false});
}

bool AdmissionController::HasCapacityFor(std::size_t message_count) const {
  const int pending_count = messages_.pending_count() - messages_.unconfirmed_count();
  return pending_count + static_cast<int>(message_count) <= settings_.max_pending_messages;
}

// A dynamic threshold: the fewer places are free, the fewer one client may hold, so that some are left for
// the others however many it asks for. Clients that hold a like number are hardly limited.
bool AdmissionController::IsWithinClientShare(std::uint64_t client, std::size_t message_count) const {
  static constexpr int kMaxMultipleOfFree = 8;
  if (client == 0) return true;
  const int free =
      settings_.max_pending_messages - (messages_.pending_count() - messages_.unconfirmed_count());
  return messages_.PendingCountOf(client) + static_cast<int>(message_count) <= kMaxMultipleOfFree * free;
}

// Returns whether a second run of an event that has ended does no harm, so that its end may be forgotten for
// new messages.
bool AdmissionController::MayRunAgain(const Message& message) const {
  if (message.attempts == 0) return true;
  if (message.request.message_class == kUnknownClass) return false;
  const ClassSettings& settings =
      settings_.classes.at(static_cast<std::size_t>(message.request.message_class));
  return settings.idempotency == Idempotency::kIdempotent;
}

// Accepting new messages takes precedence over retaining those completed ones that may run again.
bool AdmissionController::ForgetEvents(ScarceResource resource, const std::function<std::uint64_t()>& missing,
                                       const MessageTable::Gain& size_of) {
  if (missing() == 0) return true;
  messages_.ExpireRetained(clock_.Now());
  const auto gain = [&](const Message& message) { return MayRunAgain(message) ? size_of(message) : 0; };
  const std::optional<std::size_t> count = messages_.RemoveRetained(missing(), gain);
  if (count && *count > 0 && on_events_forgotten) on_events_forgotten(*count, resource);
  return count.has_value();
}

bool AdmissionController::MakeMemoryFor(std::span<const Request> requests) {
  std::size_t bytes = 0;
  for (const Request& request : requests) bytes += MessageTable::MemoryOf(request);
  const MemoryAccount& memory = messages_.memory();
  const auto missing = [&] { return memory.HasRoomFor(bytes) ? 0 : memory.used() + bytes - memory.limit(); };
  return ForgetEvents(ScarceResource::kMemory, missing,
                      [](const Message& message) { return MessageTable::MemoryOf(message); });
}

bool AdmissionController::MakeDiskSpaceFor(const std::vector<const Message*>& messages) {
  return ForgetEvents(
      ScarceResource::kDisk, [&] { return journal_.MissingSpace(messages); },
      [this](const Message& message) { return journal_.SpaceOf(message); });
}

std::vector<const Message*> AdmissionController::AddMessages(std::vector<Request> requests,
                                                             std::uint64_t client) {
  const Time now = clock_.Now();
  std::vector<const Message*> messages;
  for (Request& request : requests) {
    Message message;
    message.deadline = now + request.time_left;
    message.request = std::move(request);
    message.is_response_sent = false;
    message.client = client;
    if (dead_letters_ != nullptr) message.accepted_at = now;
    messages.push_back(&messages_.Add(std::move(message)));
  }
  return messages;
}

bool AdmissionController::AppendToJournal(const std::vector<const Message*>& messages) {
  if (MakeDiskSpaceFor(messages) && journal_.AppendAccepted(messages)) return true;
  if (messages_.unconfirmed_count() == 0 || !make_room) return false;
  make_room();
  return AppendToJournal(messages);
}

void AdmissionController::RejectUnrecorded(const std::vector<const Message*>& messages,
                                           const AdmissionCallback& respond) {
  for (const Message* message : messages) {
    if (metrics_ != nullptr) metrics_->RecordRejection(message->request.message_class);
    RememberRejection(message->request, SubmissionOutcome::kRejected, message->deadline);
  }
  for (const Message* message : messages) messages_.Remove(message->number);
  respond({AdmissionStatus::kRejected, kRetryAfter, kDiskFullReason});
}

void AdmissionController::Reject(const std::vector<Request>& requests, const AdmissionCallback& respond,
                                 const AdmissionResult& result) {
  const SubmissionOutcome outcome = result.status == AdmissionStatus::kShuttingDown
                                        ? SubmissionOutcome::kShuttingDown
                                        : SubmissionOutcome::kRejected;
  for (const Request& request : requests) {
    if (metrics_ != nullptr) metrics_->RecordRejection(request.message_class);
    RememberRejection(request, outcome, clock_.Now() + request.time_left);
  }
  respond(result);
}

// The client may submit the message again under another id, so a copy of this request must not be accepted.
// CloudEvents keep their id when they are submitted again after a rejection.
void AdmissionController::RememberRejection(const Request& request, SubmissionOutcome outcome,
                                            Time deadline) {
  const Time now = clock_.Now();
  if (request.protocol != IngressProtocol::kPlatform || messages_.id_history().IsFull(now)) return;
  messages_.id_history().Add(request, outcome, now, deadline);
  journal_.SaveRememberedIds();
}

bool AdmissionController::AcceptRedrive(Message message) {
  if (!IsAccepting() || !HasCapacityFor(1) || !MakeMemoryFor({&message.request, 1})) return false;
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
  // Several clients may wait for the same message. It counts as withdrawn only if none of them is there.
  std::map<std::uint64_t, ResponseOutcome> outcomes;  // by message number
  for (const WaitingClient& client : TakeDueClients()) {
    const ResponseOutcome outcome = Respond(client);
    for (const std::uint64_t number : client.message_numbers) {
      const auto [entry, is_new] = outcomes.try_emplace(number, outcome);
      if (!is_new && entry->second == ResponseOutcome::kDisconnected) entry->second = outcome;
    }
  }
  for (const auto& [number, outcome] : outcomes) {
    Message* message = messages_.Find(number);
    if (message != nullptr && !message->is_response_sent) OnResponded(*message, outcome);
  }
}

std::vector<AdmissionController::WaitingClient> AdmissionController::TakeDueClients() {
  std::vector<WaitingClient> due;
  for (WaitingClient& client : std::exchange(waiting_clients_, {})) {
    (IsDurable(client) ? due : waiting_clients_).push_back(std::move(client));
  }
  return due;
}

bool AdmissionController::IsAwaited(std::uint64_t message_number) const {
  return std::ranges::any_of(waiting_clients_, [&](const WaitingClient& client) {
    return std::ranges::find(client.message_numbers, message_number) != client.message_numbers.end();
  });
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

AdmissionController::ResponseOutcome AdmissionController::Respond(const WaitingClient& client) {
  AdmissionResult result;
  result.is_repeat = client.is_repeat;
  ResponseOutcome outcome = ResponseOutcome::kAccepted;
  if (const Message* shed = FindShedMessage(client)) {
    result.status = AdmissionStatus::kRejected;
    result.retry_after = shed->retry_after;
    result.reason = kShedReason;
    outcome = ResponseOutcome::kRejected;
  }
  return client.respond(result) ? outcome : ResponseOutcome::kDisconnected;
}

void AdmissionController::OnResponded(Message& message, ResponseOutcome outcome) {
  if (outcome == ResponseOutcome::kDisconnected && IsAwaited(message.number)) return;
  message.is_response_sent = true;
  if (outcome == ResponseOutcome::kDisconnected && message.final_status == FinalStatus::kPending) {
    return Withdraw(message);
  }
  if (outcome != ResponseOutcome::kAccepted && message.notification_pending) {
    // The client either learned the final status from the response, or has no response and will submit the
    // message again. In both cases neither a dead letter nor a notification is due.
    const std::uint64_t number = message.number;
    if (outcome == ResponseOutcome::kRejected) {
      RememberRejection(message.request, SubmissionOutcome::kRejected, message.deadline);
    }
    completion_handler_.OnDeadLettered(number);
    completion_handler_.OnNotificationAcknowledged(number);
    return;
  }
  completion_handler_.NotifyClient(message);
}

// The client has no response and will submit the message again. The message was not sent, because no call is
// made before the response.
void AdmissionController::Withdraw(Message& message) {
  if (message.request.protocol == IngressProtocol::kCloudEvents) return WithdrawEvent(message);
  const Request request = {.id = message.request.id, .protocol = message.request.protocol};
  const Time deadline = message.deadline;
  router_.OnWithdrawn(message);
  completion_handler_.Complete(message, FinalStatus::kExpired);
  messages_.id_history().Add(request, SubmissionOutcome::kWithdrawn, clock_.Now(), deadline);
  journal_.SaveRememberedIds();
}

// An event keeps its id when it is submitted again, so it ends like a rejected one, of which no trace is
// kept.
void AdmissionController::WithdrawEvent(Message& message) {
  const std::uint64_t number = message.number;
  router_.OnWithdrawn(message);
  message.is_response_sent = false;  // nobody is to be notified
  completion_handler_.Complete(message, FinalStatus::kRejected);
  message.is_response_sent = true;
  completion_handler_.OnDeadLettered(number);
  completion_handler_.OnNotificationAcknowledged(number);
}

}  // namespace sagetally
