#include "pipeline/admission_controller.h"

#include <algorithm>
#include <utility>

namespace sagetally {
namespace {

// While the journal has no room, for which it looks all the time, and to a client of a node that drains or
// ends.
constexpr Duration kComeAgain = std::chrono::seconds(1);

}  // namespace

void AdmissionController::Accept(std::vector<Request> requests, AdmissionCallback reply) {
  if (is_accepting && !is_accepting())
    return Reject(requests, reply, {AdmissionStatus::kShuttingDown, kComeAgain, "draining"});
  if (messages_.pending_count() + static_cast<int>(requests.size()) > max_pending_messages_) {
    return Reject(requests, reply, {AdmissionStatus::kRejected, Duration(0), "all places are taken"});
  }
  const Time now = clock_.Now();
  std::vector<const Message*> taken;
  WaitingClient waiting;
  for (Request& request : requests) {
    Message message;
    message.deadline = now + request.time_left;
    message.request = std::move(request);
    message.client_answered = false;
    if (dead_letters_ != nullptr) message.accepted_at = now;
    const Message& added = messages_.Add(std::move(message));
    taken.push_back(&added);
    waiting.message_numbers.push_back(added.number);
  }
  // What is owed goes before what is remembered for repeats' sake.
  bool on_record = journal_.AppendAccepted(taken);
  while (!on_record && messages_.ForgetOldest()) on_record = journal_.AppendAccepted(taken);
  if (!on_record) {
    for (const Message* message : taken) {
      if (metrics_ != nullptr) metrics_->RecordRejection(message->request.message_class);
    }
    for (const std::uint64_t number : waiting.message_numbers) messages_.Remove(number);
    reply({AdmissionStatus::kRejected, kComeAgain, "no room on disk"});
    return;
  }
  for (const Message* message : taken) {
    if (dead_letters_ != nullptr) dead_letters_->OnAccepted(*message);
    router_.OnAccepted(*message);
  }
  waiting.reply = std::move(reply);
  waiting_clients_.push_back(std::move(waiting));
}

void AdmissionController::Reject(const std::vector<Request>& requests, const AdmissionCallback& reply,
                                 const AdmissionResult& answer) {
  for (const Request& request : requests) {
    if (metrics_ != nullptr) metrics_->RecordRejection(request.message_class);
  }
  reply(answer);
}

bool AdmissionController::AcceptRedrive(Message message) {
  if ((is_accepting && !is_accepting()) || messages_.pending_count() >= max_pending_messages_) return false;
  const Message& added = messages_.Add(std::move(message));
  const Message* one[] = {&added};
  if (!journal_.AppendAccepted(one)) {
    messages_.Remove(added.number);
    return false;
  }
  router_.OnAccepted(added);
  return true;
}

void AdmissionController::AnswerWaitingClients() {
  for (WaitingClient& waiting : std::exchange(waiting_clients_, {})) {
    // Not yet safely on record: asked again when the journal has moved on.
    const bool safe = std::all_of(waiting.message_numbers.begin(), waiting.message_numbers.end(),
                                  [&](std::uint64_t number) {
                                    const Message* m = messages_.Find(number);
                                    return m == nullptr || journal_.IsDurable(*m);
                                  });
    if (!safe) {
      waiting_clients_.push_back(std::move(waiting));
      continue;
    }
    Message* only =
        waiting.message_numbers.size() == 1 ? messages_.Find(waiting.message_numbers.front()) : nullptr;
    // Given up in the same step: the answer itself is the end, and no notice is owed.
    const bool refused =
        only != nullptr && only->final_status == FinalStatus::kRejected && only->attempts == 0;
    const bool heard =
        waiting.reply(refused ? AdmissionResult{AdmissionStatus::kRejected, only->retry_after, "no room"}
                              : AdmissionResult());
    for (const std::uint64_t number : waiting.message_numbers) {
      Message* m = messages_.Find(number);
      if (m == nullptr) continue;
      m->client_answered = true;
      if (!heard && m->final_status == FinalStatus::kPending) {
        // The client closed before it was answered and hands the message in anew: this copy is withdrawn.
        router_.OnWithdrawn(*m);
        completion_handler_.Complete(*m, FinalStatus::kExpired);
      } else if (m->notification_pending && (refused || !heard)) {
        completion_handler_.OnDeadLettered(
            number);  // the client knows its end, or hands it in anew: nothing to keep
        completion_handler_.OnNotificationAcknowledged(number);
      } else {
        completion_handler_.NotifyClient(*m);
      }
    }
  }
}

}  // namespace sagetally
