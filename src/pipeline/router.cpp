#include "pipeline/router.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/policy_message_id.h"

namespace sagetally {

void Router::QueueEvent(Event event) {
  pending_events_.push_back(std::move(event));
  scheduler_.SchedulePolicyRun();
}

void Router::RunPolicy() {
  const std::vector<Event> events = std::exchange(pending_events_, {});
  std::vector<Action> actions;
  policy_.Process(clock_.Now(), events, actions);
  for (const Action& action : actions) {
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  }
  if (attempt_sender_.has_cancelled_attempts()) attempt_sender_.StartDueCalls();
  messages_.ExpireRetained(clock_.Now());
}

void Router::OnAccepted(const Message& message) {
  MessageAccepted event;
  event.id = ToPolicyMessageId(message.number);
  event.destination = message.request.destination;
  event.message_class = message.request.message_class;
  event.time_left = message.deadline - clock_.Now();
  event.attempts = message.attempts;
  event.first_uncertain_attempt = message.first_uncertain_attempt;
  event.first_uncertain_endpoint = message.first_uncertain_endpoint;
  QueueEvent(std::move(event));
}

void Router::OnWithdrawn(const Message& message) {
  QueueEvent(MessageWithdrawn{ToPolicyMessageId(message.number)});
}

void Router::OnEndpointListUpdate(const EndpointListUpdate& update) {
  using Kind = EndpointListUpdated::Kind;
  EndpointListUpdated event;
  event.kind = update.is_full_snapshot ? Kind::kFullSnapshot : Kind::kDelta;
  event.is_cached = update.is_cached;
  std::set<std::string> removed;
  if (update.is_full_snapshot) {
    for (const auto& [name, endpoint] : std::exchange(endpoints_, {})) removed.insert(name);
  }
  for (const EndpointUpdate& endpoint : update.endpoints) {
    const std::string& name = endpoint.record.endpoint;
    if (endpoint.record.state == EndpointRecord::State::kRemoved) {
      endpoints_.erase(name);
      removed.insert(name);
    } else {
      endpoints_[name] = endpoint;
      removed.erase(name);
      endpoint_client_.UpdateEndpoint(endpoint);
    }
    known_destinations_.insert(endpoint.record.destination);
    event.endpoints.push_back(endpoint.record);
  }
  QueueEvent(std::move(event));
  for (const std::string& name : removed) endpoint_client_.RemoveEndpoint(name);
}

std::vector<EndpointUpdate> Router::EndpointList() const {
  std::vector<EndpointUpdate> list;
  for (const auto& [name, endpoint] : endpoints_) list.push_back(endpoint);
  return list;
}

bool Router::HasUsableEndpoint(int destination) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [destination](const auto& entry) {
    const EndpointRecord& record = entry.second.record;
    return record.state == EndpointRecord::State::kUp && record.destination == destination;
  });
}

void Router::ReplayEvents(Time now, const std::vector<Event>& events) {
  while (replay_timer_due_ <= now) {
    const Time fired_at = std::exchange(replay_timer_due_, Time::max());
    ProcessReplayed(fired_at, {TimerFired{}});
  }
  ProcessReplayed(now, events);
}

void Router::ProcessReplayed(Time now, const std::vector<Event>& events) {
  std::vector<Action> actions;
  policy_.Process(now, events, actions);
  for (const Action& action : actions) {
    if (const auto* timer = std::get_if<ScheduleTimer>(&action)) replay_timer_due_ = now + timer->delay;
  }
}

void Router::FinishReplay() {
  if (replay_timer_due_ == Time::max()) return;
  scheduler_.ScheduleTimer(std::max(Duration(0), replay_timer_due_ - clock_.Now()));
}

void Router::Execute(const StartAttempt& action) {
  if (const std::optional<std::uint64_t> number = ParsePolicyMessageId(action.id)) {
    attempt_sender_.StartAttempt(*number, action.endpoint, action.timeout);
  }
}

void Router::Execute(const RejectMessage& action) {
  if (Message* message = FindMessage(action.id)) {
    completion_handler_.Complete(*message, FinalStatus::kRejected, action.retry_after);
  }
}

void Router::Execute(const FailMessage& action) {
  if (Message* message = FindMessage(action.id)) {
    completion_handler_.Complete(*message, FinalStatus::kFailed);
  }
}

void Router::Execute(const CancelAttempt& action) {
  const Message* message = FindLatestAttempt(action.id, action.attempt);
  if (message == nullptr || attempt_sender_.CancelIfWaiting(message->number)) return;
  endpoint_client_.CancelCall(message->number);
}

void Router::Execute(const CancelIfUnsent& action) {
  const Message* message = FindLatestAttempt(action.id, action.attempt);
  if (message == nullptr || attempt_sender_.CancelIfWaiting(message->number)) return;
  endpoint_client_.CancelCallIfUnsent(message->number);
}

Message* Router::FindMessage(const std::string& policy_id) {
  const std::optional<std::uint64_t> number = ParsePolicyMessageId(policy_id);
  return number ? messages_.Find(*number) : nullptr;
}

const Message* Router::FindLatestAttempt(const std::string& policy_id, int attempt) {
  const Message* message = FindMessage(policy_id);
  return message != nullptr && message->attempts == attempt + 1 ? message : nullptr;
}

}  // namespace sagetally
