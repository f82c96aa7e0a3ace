#include "handover/state_replay.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "pipeline/router.h"

namespace sagetally {
namespace {

MessageAccepted WithCallOut(std::string id, const Request& request, Time deadline, Time sent, int attempts,
                            const std::string& endpoint) {
  MessageAccepted e;
  e.id = std::move(id);
  e.destination = request.destination;
  e.message_class = request.message_class;
  e.time_left = deadline - sent;
  e.attempts = attempts;
  e.in_flight_endpoint = endpoint;
  return e;
}

}  // namespace

void ReplayHandoverState(const HandoverState& state, const std::vector<std::string>& classes,
                         std::size_t kinds, const MessageTable& ledger,
                         const std::function<void(Time, const std::vector<Event>&)>& step) {
  std::multimap<Time, Event> events;  // those of one time in the order added
  std::map<std::string, int> named;   // endpoints of calls, with their destinations
  std::uint64_t nth = 0;
  for (const CompletedAttempt& a : state.recent_attempts) {
    const auto was = static_cast<std::size_t>(a.message_class);
    const auto at = was < state.classes.size() ? std::find(classes.begin(), classes.end(), state.classes[was])
                                               : classes.end();
    if (at == classes.end()) continue;
    Request request;
    request.destination = a.destination;
    request.message_class = static_cast<int>(at - classes.begin());
    named.emplace(a.endpoint, a.destination);
    const std::string id = "past-" + std::to_string(++nth);  // no number of a message
    events.emplace(a.sent_at, WithCallOut(id, request, a.deadline, a.sent_at, a.attempts, a.endpoint));
    AttemptCompleted e;
    e.id = id;
    e.attempt = a.attempts - 1;
    e.outcome = a.outcome;
    e.message_ended = true;
    e.latency = a.completed_at - a.sent_at;
    e.retry_after = a.retry_after;
    e.load_report = a.load_report;
    events.emplace(std::max(a.completed_at, a.sent_at), std::move(e));
  }
  for (const auto& [number, m] : ledger.messages()) {
    if (!m.is_in_flight || m.final_status != FinalStatus::kPending) continue;
    named.emplace(m.in_flight_endpoint, m.request.destination);
    MessageAccepted e = WithCallOut(PolicyMessageId(number), m.request, m.deadline, m.in_flight_since,
                                    m.attempts, m.in_flight_endpoint);
    e.first_uncertain_attempt = m.first_uncertain_attempt;
    e.first_uncertain_endpoint = m.first_uncertain_endpoint;
    events.emplace(m.in_flight_since, std::move(e));
  }
  EndpointListUpdated list;
  list.kind = EndpointListUpdated::Kind::kFullSnapshot;
  for (const EndpointUpdate& news : state.endpoints) {
    list.endpoints.push_back(news.record);
    if (static_cast<std::size_t>(news.record.kind) >= kinds) list.endpoints.back().kind = 0;
    named.erase(news.record.endpoint);
  }
  for (const auto& [endpoint, destination] : named) {  // gone since, but calls there still count
    EndpointRecord gone;
    gone.endpoint = endpoint;
    gone.destination = destination;
    gone.state = EndpointRecord::State::kRemoved;
    list.endpoints.push_back(std::move(gone));
  }
  const Time begin =
      events.empty() ? state.now.wall_time : std::min(state.now.wall_time, events.begin()->first);
  step(begin, {std::move(list)});
  for (auto& [at, event] : events) step(std::min(at, state.now.wall_time), {std::move(event)});
}

}  // namespace sagetally
