#include "handover/state_replay.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "pipeline/router.h"

namespace sagetally {
namespace {

MessageTaken WithCallOut(std::string id, const Request& request, Time deadline, Time sent, int attempts,
                         const std::string& endpoint) {
  MessageTaken e;
  e.id = std::move(id);
  e.destination = request.destination;
  e.message_class = request.message_class;
  e.time_left = deadline - sent;
  e.attempts = attempts;
  e.out_at = endpoint;
  return e;
}

}  // namespace

void Rehearse(const HandoverState& state, const std::vector<std::string>& classes, std::size_t kinds,
              const Ledger& ledger, const std::function<void(Time, const std::vector<Event>&)>& step) {
  std::multimap<Time, Event> events;  // those of one time in the order added
  std::map<std::string, int> named;   // endpoints of calls, with their destinations
  std::uint64_t nth = 0;
  for (const PastAttempt& a : state.recent) {
    const auto was = static_cast<std::size_t>(a.message_class);
    const auto at = was < state.classes.size() ? std::find(classes.begin(), classes.end(), state.classes[was])
                                               : classes.end();
    if (at == classes.end()) continue;
    Request request;
    request.destination = a.destination;
    request.message_class = static_cast<int>(at - classes.begin());
    named.emplace(a.endpoint, a.destination);
    const std::string id = "past-" + std::to_string(++nth);  // no number of a message
    events.emplace(a.sent, WithCallOut(id, request, a.deadline, a.sent, a.attempts, a.endpoint));
    AttemptEnded e;
    e.id = id;
    e.attempt = a.attempts - 1;
    e.outcome = a.outcome;
    e.finished = true;
    e.took = a.ended - a.sent;
    e.told_wait = a.told_wait;
    e.load = a.load;
    events.emplace(std::max(a.ended, a.sent), std::move(e));
  }
  for (const auto& [number, m] : ledger.messages()) {
    if (!m.out || m.end != End::kNone) continue;
    named.emplace(m.out_at, m.request.destination);
    MessageTaken e = WithCallOut(ModuleId(number), m.request, m.deadline, m.out_since, m.attempts, m.out_at);
    e.may_have_run = m.may_have_run;
    e.may_have_run_at = m.may_have_run_at;
    events.emplace(m.out_since, std::move(e));
  }
  ListChanged list;
  list.kind = ListChanged::Kind::kWhole;
  for (const EndpointNews& news : state.endpoints) {
    list.entries.push_back(news.entry);
    if (static_cast<std::size_t>(news.entry.kind) >= kinds) list.entries.back().kind = 0;
    named.erase(news.entry.endpoint);
  }
  for (const auto& [endpoint, destination] : named) {  // gone since, but calls there still count
    EndpointEntry gone;
    gone.endpoint = endpoint;
    gone.destination = destination;
    gone.state = EndpointEntry::State::kRemoved;
    list.entries.push_back(std::move(gone));
  }
  const Time begin = events.empty() ? state.now.wall : std::min(state.now.wall, events.begin()->first);
  step(begin, {std::move(list)});
  for (auto& [at, event] : events) step(std::min(at, state.now.wall), {std::move(event)});
}

}  // namespace sagetally
