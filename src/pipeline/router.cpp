#include "pipeline/router.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sagetally {

std::string PolicyMessageId(std::uint64_t number) { return std::to_string(number); }

std::uint64_t MessageNumberOf(const std::string& module_id) {
  std::uint64_t number = 0;
  std::from_chars(module_id.data(), module_id.data() + module_id.size(), number);
  return number;
}

void Router::OnEndpointListUpdate(const EndpointListUpdate& news) {
  EndpointListUpdated e;
  e.kind =
      news.is_full_snapshot ? EndpointListUpdated::Kind::kFullSnapshot : EndpointListUpdated::Kind::kDelta;
  e.is_cached = news.is_cached;
  std::set<std::string> gone;
  if (news.is_full_snapshot) {
    for (const auto& [name, named] : std::exchange(endpoints_, {})) gone.insert(name);
  }
  for (const EndpointUpdate& endpoint : news.endpoints) {
    const std::string& name = endpoint.record.endpoint;
    gone.erase(name);
    if (endpoint.record.state == EndpointRecord::State::kRemoved) {
      endpoints_.erase(name);
      gone.insert(name);
    } else {
      endpoints_[name] = endpoint;
      endpoint_client_.UpdateEndpoint(endpoint);
    }
    destinations_.insert(endpoint.record.destination);
    e.endpoints.push_back(endpoint.record);
  }
  QueueEvent(std::move(e));
  for (const std::string& name : gone) endpoint_client_.RemoveEndpoint(name);
}

bool Router::HasUsableEndpoint(int destination) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& named) {
    const EndpointRecord& entry = named.second.record;
    return entry.state == EndpointRecord::State::kUp && entry.destination == destination;
  });
}

std::vector<EndpointUpdate> Router::EndpointList() const {
  std::vector<EndpointUpdate> list;
  for (const auto& [name, news] : endpoints_) list.push_back(news);
  return list;
}

void Router::ReplayEvents(Time at, const std::vector<Event>& events) {
  const auto step = [this](Time now, const std::vector<Event>& at_once) {
    std::vector<Action> actions;
    policy_.Process(now, at_once, actions);
    for (const Action& action : actions) {
      if (const auto* wake = std::get_if<ScheduleTimer>(&action)) replayed_timer_ = now + wake->delay;
    }
  };
  while (replayed_timer_ <= at) step(std::exchange(replayed_timer_, Time::max()), {TimerFired{}});
  step(at, events);
}

// The module waits for the wake that it asked for last.
void Router::FinishReplay() {
  if (replayed_timer_ != Time::max()) {
    scheduler_.ScheduleTimer(std::max(Duration(0), replayed_timer_ - clock_.Now()));
  }
}

void Router::OnAccepted(const Message& m) {
  MessageAccepted e;
  e.id = PolicyMessageId(m.number);
  e.destination = m.request.destination;
  e.message_class = m.request.message_class;
  e.time_left = m.deadline - clock_.Now();
  e.attempts = m.attempts;
  e.first_uncertain_attempt = m.first_uncertain_attempt;
  e.first_uncertain_endpoint = m.first_uncertain_endpoint;
  QueueEvent(std::move(e));
}

void Router::OnWithdrawn(const Message& m) {
  QueueEvent(sagetally::MessageWithdrawn{PolicyMessageId(m.number)});
}

void Router::QueueEvent(Event event) {
  pending_events_.push_back(std::move(event));
  scheduler_.SchedulePolicyRun();
}

void Router::RunPolicy() {
  const std::vector<Event> events = std::exchange(pending_events_, {});
  std::vector<Action> actions;
  policy_.Process(clock_.Now(), events, actions);
  for (const Action& action : actions) {
    std::visit([this](const auto& chosen) { Execute(chosen); }, action);
  }
  if (!attempt_sender_.has_nothing_to_return()) attempt_sender_.OnJournalProgress();
  messages_.ExpireRemembered(clock_.Now());
}

void Router::Execute(const StartAttempt& a) {
  attempt_sender_.StartAttempt(MessageNumberOf(a.id), a.endpoint, a.timeout);
}

void Router::Execute(const RejectMessage& a) {
  if (Message* m = messages_.Find(MessageNumberOf(a.id)))
    completion_handler_.Complete(*m, FinalStatus::kRejected, a.retry_after);
}

void Router::Execute(const FailMessage& a) {
  if (Message* m = messages_.Find(MessageNumberOf(a.id)))
    completion_handler_.Complete(*m, FinalStatus::kFailed);
}

void Router::Execute(const CancelAttempt& a) {
  if (const Message* m = messages_.Find(MessageNumberOf(a.id));
      m != nullptr && m->attempts == a.attempt + 1) {
    if (!attempt_sender_.CancelIfWaiting(m->number)) endpoint_client_.CancelCall(m->number);
  }
}

void Router::Execute(const CancelIfUnsent& a) {
  if (const Message* m = messages_.Find(MessageNumberOf(a.id));
      m != nullptr && m->attempts == a.attempt + 1) {
    if (!attempt_sender_.CancelIfWaiting(m->number)) endpoint_client_.CancelCallIfUnsent(m->number);
  }
}

}  // namespace sagetally
