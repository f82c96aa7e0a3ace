// What is handed over, and what a new module learns from it, without I/O.
#undef NDEBUG
#include <cassert>
#include <cstdio>

#include "../app/node.h"
#include "handover/handover_state.h"
#include "handover/state_replay.h"
#include "pipeline/router.h"

namespace sagetally {
namespace {

CompletedAttempt Past(Time sent, Time ended, Outcome outcome, Duration wait = 0s,
                      const std::string& endpoint = "e1") {
  CompletedAttempt a;
  a.sent_at = sent;
  a.completed_at = ended;
  a.deadline = sent + 20s;
  a.destination = 1;
  a.attempts = 1;
  a.endpoint = endpoint;
  a.outcome = outcome;
  a.retry_after = wait;
  return a;
}

HandoverState Sample() {
  HandoverState s;
  s.now = {100s, 50s, 9};
  s.classes = {"safe", "keyed", "unsafe"};
  s.revision = 41;
  EndpointUpdate news;
  news.record = At("e1", 0, 1, 10);
  news.address = "127.0.0.1:1";
  s.endpoints = {news};
  s.recent_attempts = {Past(98s, 99s, Outcome::kRejected, 3s)};
  s.recent_attempts[0].load_report = {0.5, 25};
  s.in_flight_calls = {{7, "e1", 99s, Time(97s), "e2"}, {8, "e1", 99s, {}, ""}};
  return s;
}

void StateComesThroughOrNotAtAll() {
  const HandoverState s = Sample();
  const std::string bytes = EncodeHandoverState(s);
  const auto read = DecodeHandoverState(bytes);
  assert(read && read->now == s.now && read->classes == s.classes && read->revision == 41);
  assert(EncodeHandoverState(*read) == bytes && read->recent_attempts.size() == 1 &&
         read->in_flight_calls.size() == 2);
  assert(read->endpoints[0].address == "127.0.0.1:1" && read->endpoints[0].record.rate == 10);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) assert(!DecodeHandoverState(bytes.substr(0, cut)));
  assert(!DecodeHandoverState(bytes + "x") && !DecodeHandoverState("\x63" + bytes.substr(1)));
  CallResult r;
  r.number = 7;
  r.outcome = Outcome::kRejected;
  r.retry_after = 5ms;
  const std::string result = EncodeCallResult(r);
  const auto back = DecodeCallResult(result);
  assert(back && back->number == 7 && back->outcome == Outcome::kRejected && back->retry_after == 5ms);
  assert(!DecodeCallResult(result.substr(1)) && !DecodeCallResult(result + "x"));
  std::string wrong = result;
  wrong[8] = 99;  // no such outcome
  assert(!DecodeCallResult(wrong));
}

void MemoryHoldsAMinuteAndNotWithoutEnd() {
  AttemptHistory memory;
  for (int i = 0; i < 10'000; ++i) memory.Add(Past(i * 1ms, i * 1ms, Outcome::kOk));
  assert(memory.size() == AttemptHistory::kMaxAttempts);
  memory.Add(Past(200s, 200s, Outcome::kOk));
  assert(memory.size() == 1);
}

// A module that has heard what one before it learnt.
struct Heir {
  explicit Heir(const HandoverState& state, const MessageTable& ledger = MessageTable())
      : sender(SmallSettings(), 3) {
    ReplayHandoverState(state, {"safe", "keyed", "unsafe"}, 3, ledger,
                        [&](Time at, const std::vector<Event>& events) {
                          assert(at >= last && at <= state.now.wall_time);
                          last = at;
                          Step(at, events);
                        });
  }
  std::vector<std::string> Step(Time at, const std::vector<Event>& events) {
    std::vector<Action> actions;
    sender.Process(at, events, actions);
    std::vector<std::string> sent;
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&a)) sent.push_back(send->id);
    }
    return sent;
  }
  DispatchPolicy sender;
  Time last{0};
};

void AWaitToldBeforeIsHeeded() {
  Heir heir(Sample());  // told at 99 s to wait for 3 s
  assert(heir.Step(100s, {Node::Taken("m")}).empty());
  assert(heir.Step(101s + 900ms, {TimerFired{}}).empty());
  assert(heir.Step(102s + 100ms, {TimerFired{}}) == std::vector<std::string>{"m"});
  HandoverState free = Sample();
  free.recent_attempts.clear();
  Heir other(free);  // the case can fail: without that attempt it goes at once
  assert(other.Step(100s, {Node::Taken("m")}) == std::vector<std::string>{"m"});
}

void AnOutageSeenBeforeIsKnown() {
  HandoverState s = Sample();
  s.recent_attempts.clear();
  for (int i = 0; i < 10; ++i)
    s.recent_attempts.push_back(Past(90s + i * 1s, 90s + i * 1s + 10ms, Outcome::kTimeout));
  Heir heir(s);
  assert(heir.sender.AvoidedEndpointCount() == 1);
  // Nothing unsafe goes to a suspect.
  assert(heir.Step(100s, {Node::Taken("m", kUnsafeClass)}).empty());
}

void CallsThatAreOutHoldTheirSlotsUntilTheyComeBack() {
  HandoverState s = Sample();
  s.recent_attempts.clear();
  MessageTable ledger;
  for (int i = 0; i < 8; ++i) {  // all slots of SmallSettings
    Message m;
    m.request.id = "out" + std::to_string(i);
    m.request.destination = 1;
    m.deadline = 110s;
    m.attempts = 2;
    m.is_in_flight = true;
    m.in_flight_since = 99s;
    m.in_flight_endpoint = i == 7 ? "gone" : "e1";  // one to an endpoint that the list has lost
    ledger.Add(std::move(m));
  }
  Heir heir(s, ledger);
  assert(heir.Step(100s, {Node::Taken("m")}).empty());
  AttemptCompleted e;
  e.id = PolicyMessageId(8);
  e.attempt = 1;
  e.message_ended = true;
  assert(heir.Step(100s + 1ms, {e}) == std::vector<std::string>{"m"});
  for (std::uint64_t number = 2; number <= 7; ++number) {
    e.id = PolicyMessageId(number);
    heir.Step(100s + 1ms, {e});
  }
  // One that failed is sent again by the module that inherited it, on its third attempt of six.
  e.id = PolicyMessageId(1);
  e.message_ended = false;
  e.outcome = Outcome::kConnectFailed;
  std::vector<std::string> sent = heir.Step(100s + 2ms, {e});
  for (int i = 0; i < 40 && sent.empty(); ++i) sent = heir.Step(101s + i * 100ms, {TimerFired{}});
  assert(sent == std::vector<std::string>{PolicyMessageId(1)});
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  StateComesThroughOrNotAtAll();
  MemoryHoldsAMinuteAndNotWithoutEnd();
  AWaitToldBeforeIsHeeded();
  AnOutageSeenBeforeIsKnown();
  CallsThatAreOutHoldTheirSlotsUntilTheyComeBack();
  std::puts("5 passed, 0 failed");
}
