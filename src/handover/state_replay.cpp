#include "handover/state_replay.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/policy_message_id.h"

namespace sagetally {
namespace {

// Collects the events of a replay with their times, and the endpoints to which they refer.
class ReplayBuilder {
 public:
  void AddCompletedAttempt(const CompletedAttempt& attempt, int message_class);
  void AddInFlightMessage(const Message& message);
  // Returns the endpoint list of `state`. Endpoints to which the events refer but which are no longer listed
  // are added as removed endpoints, because calls to them still count.
  EndpointListUpdated MakeEndpointList(const HandoverState& state, std::size_t kind_count) const;
  // The events in the order of their times. Events with the same time are in the order in which they were
  // added.
  const std::multimap<Time, Event>& events() const { return events_; }

 private:
  std::multimap<Time, Event> events_;
  std::map<std::string, int> destinations_;  // destination numbers by endpoint name
  std::uint64_t completed_count_ = 0;
};

void ReplayBuilder::AddCompletedAttempt(const CompletedAttempt& attempt, int message_class) {
  destinations_.emplace(attempt.endpoint, attempt.destination);
  // The id must not be a message number, because the number of the attempt's message may be in use by now.
  const std::string id = "past-" + std::to_string(++completed_count_);

  MessageAccepted accepted;
  accepted.id = id;
  accepted.destination = attempt.destination;
  accepted.message_class = message_class;
  accepted.time_left = attempt.deadline - attempt.sent_at;
  accepted.attempts = attempt.attempts;
  accepted.in_flight_endpoint = attempt.endpoint;
  events_.emplace(attempt.sent_at, std::move(accepted));

  AttemptCompleted completed;
  completed.id = id;
  completed.attempt = attempt.attempts - 1;
  completed.outcome = attempt.outcome;
  completed.message_ended = true;
  completed.latency = attempt.completed_at - attempt.sent_at;
  completed.retry_after = attempt.retry_after;
  completed.load_report = attempt.load_report;
  events_.emplace(std::max(attempt.completed_at, attempt.sent_at), std::move(completed));
}

void ReplayBuilder::AddInFlightMessage(const Message& message) {
  destinations_.emplace(message.in_flight_endpoint, message.request.destination);
  MessageAccepted accepted;
  accepted.id = ToPolicyMessageId(message.number);
  accepted.destination = message.request.destination;
  accepted.message_class = message.request.message_class;
  accepted.time_left = message.deadline - message.in_flight_since;
  accepted.attempts = message.attempts;
  accepted.in_flight_endpoint = message.in_flight_endpoint;
  accepted.first_uncertain_attempt = message.first_uncertain_attempt;
  accepted.first_uncertain_endpoint = message.first_uncertain_endpoint;
  events_.emplace(message.in_flight_since, std::move(accepted));
}

EndpointListUpdated ReplayBuilder::MakeEndpointList(const HandoverState& state,
                                                    std::size_t kind_count) const {
  EndpointListUpdated list;
  list.kind = EndpointListUpdated::Kind::kFullSnapshot;
  std::map<std::string, int> unlisted = destinations_;
  for (const EndpointUpdate& update : state.endpoints) {
    EndpointRecord record = update.record;
    if (static_cast<std::size_t>(record.kind) >= kind_count) record.kind = 0;
    unlisted.erase(record.endpoint);
    list.endpoints.push_back(std::move(record));
  }
  for (const auto& [endpoint, destination] : unlisted) {
    EndpointRecord removed;
    removed.endpoint = endpoint;
    removed.destination = destination;
    removed.state = EndpointRecord::State::kRemoved;
    list.endpoints.push_back(std::move(removed));
  }
  return list;
}

// Returns the number in `classes` of the class that had the number `previous_class` in the predecessor;
// nothing if this process does not have that class.
std::optional<int> FindClass(const HandoverState& state, int previous_class,
                             const std::vector<std::string>& classes) {
  const auto index = static_cast<std::size_t>(previous_class);
  if (index >= state.class_names.size()) return std::nullopt;
  const auto found = std::find(classes.begin(), classes.end(), state.class_names[index]);
  if (found == classes.end()) return std::nullopt;
  return static_cast<int>(found - classes.begin());
}

}  // namespace

void ReplayHandoverState(const HandoverState& state, const std::vector<std::string>& classes,
                         std::size_t kind_count, const MessageTable& messages,
                         const ProcessEventsAt& process_events) {
  ReplayBuilder replay;
  for (const CompletedAttempt& attempt : state.recent_attempts) {
    if (const std::optional<int> message_class = FindClass(state, attempt.message_class, classes)) {
      replay.AddCompletedAttempt(attempt, *message_class);
    }
  }
  for (const auto& [number, message] : messages.messages()) {
    if (message.is_in_flight && message.final_status == FinalStatus::kPending) {
      replay.AddInFlightMessage(message);
    }
  }

  const Time end_time = state.now.wall_time;
  const Time start_time =
      replay.events().empty() ? end_time : std::min(end_time, replay.events().begin()->first);
  process_events(start_time, {replay.MakeEndpointList(state, kind_count)});
  for (const auto& [time, event] : replay.events()) process_events(std::min(time, end_time), {event});
}

}  // namespace sagetally
