#include "pipeline/router.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sagetally {

std::string ModuleId(std::uint64_t number) { return std::to_string(number); }

std::uint64_t NumberOf(const std::string& module_id) {
  std::uint64_t number = 0;
  std::from_chars(module_id.data(), module_id.data() + module_id.size(), number);
  return number;
}

void Route::Listed(const ListNews& news) {
  ListChanged e;
  e.kind = news.whole ? ListChanged::Kind::kWhole : ListChanged::Kind::kChanges;
  e.saved = news.saved;
  std::set<std::string> gone;
  if (news.whole) {
    for (const auto& [name, named] : std::exchange(endpoints_, {})) gone.insert(name);
  }
  for (const EndpointNews& endpoint : news.endpoints) {
    const std::string& name = endpoint.entry.endpoint;
    gone.erase(name);
    if (endpoint.entry.state == EndpointEntry::State::kRemoved) {
      endpoints_.erase(name);
      gone.insert(name);
    } else {
      endpoints_[name] = endpoint;
      caller_.Learn(endpoint);
    }
    destinations_.insert(endpoint.entry.destination);
    e.entries.push_back(endpoint.entry);
  }
  Add(std::move(e));
  for (const std::string& name : gone) caller_.Forget(name);
}

bool Route::Up(int destination) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& named) {
    const EndpointEntry& entry = named.second.entry;
    return entry.state == EndpointEntry::State::kUp && entry.destination == destination;
  });
}

std::vector<EndpointNews> Route::List() const {
  std::vector<EndpointNews> list;
  for (const auto& [name, news] : endpoints_) list.push_back(news);
  return list;
}

void Route::Rehearse(Time at, const std::vector<Event>& events) {
  const auto step = [this](Time now, const std::vector<Event>& at_once) {
    std::vector<Action> actions;
    sender_.Step(now, at_once, actions);
    for (const Action& action : actions) {
      if (const auto* wake = std::get_if<Wake>(&action)) rehearsed_wake_ = now + wake->after;
    }
  };
  while (rehearsed_wake_ <= at) step(std::exchange(rehearsed_wake_, Time::max()), {WakeDue{}});
  step(at, events);
}

// The module waits for the wake that it asked for last.
void Route::Rehearsed() {
  if (rehearsed_wake_ != Time::max()) {
    host_.WakeAfter(std::max(Duration(0), rehearsed_wake_ - clock_.Now()));
  }
}

void Route::Taken(const Message& m) {
  MessageTaken e;
  e.id = ModuleId(m.number);
  e.destination = m.request.destination;
  e.message_class = m.request.message_class;
  e.time_left = m.deadline - clock_.Now();
  e.attempts = m.attempts;
  e.may_have_run = m.may_have_run;
  e.may_have_run_at = m.may_have_run_at;
  Add(std::move(e));
}

void Route::Withdrawn(const Message& m) { Add(sagetally::Withdrawn{ModuleId(m.number)}); }

void Route::Add(Event event) {
  events_.push_back(std::move(event));
  host_.StepSoon();
}

void Route::Step() {
  const std::vector<Event> events = std::exchange(events_, {});
  std::vector<Action> actions;
  sender_.Step(clock_.Now(), events, actions);
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
  if (!send_.idle()) send_.Progress();
  ledger_.Age(clock_.Now());
}

void Route::Do(const Send& a) { send_.Go(NumberOf(a.id), a.endpoint, a.time_out); }

void Route::Do(const Refuse& a) {
  if (Message* m = ledger_.Find(NumberOf(a.id))) book_.End(*m, End::kRefused, a.come_back_after);
}

void Route::Do(const Fail& a) {
  if (Message* m = ledger_.Find(NumberOf(a.id))) book_.End(*m, End::kFailed);
}

void Route::Do(const Cancel& a) {
  if (const Message* m = ledger_.Find(NumberOf(a.id)); m != nullptr && m->attempts == a.attempt + 1) {
    if (!send_.Cancel(m->number)) caller_.Cancel(m->number);
  }
}

void Route::Do(const Recall& a) {
  if (const Message* m = ledger_.Find(NumberOf(a.id)); m != nullptr && m->attempts == a.attempt + 1) {
    if (!send_.Cancel(m->number)) caller_.Recall(m->number);
  }
}

}  // namespace sagetally
