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

PastAttempt Past(Time sent, Time ended, Outcome outcome, Duration wait = 0s,
                 const std::string& endpoint = "e1") {
  PastAttempt a;
  a.sent = sent;
  a.ended = ended;
  a.deadline = sent + 20s;
  a.destination = 1;
  a.attempts = 1;
  a.endpoint = endpoint;
  a.outcome = outcome;
  a.told_wait = wait;
  return a;
}

HandoverState Sample() {
  HandoverState s;
  s.now = {100s, 50s, 9};
  s.classes = {"safe", "keyed", "unsafe"};
  s.revision = 41;
  EndpointNews news;
  news.entry = At("e1", 0, 1, 10);
  news.address = "127.0.0.1:1";
  s.endpoints = {news};
  s.recent = {Past(98s, 99s, Outcome::kFull, 3s)};
  s.recent[0].load = {0.5, 25};
  s.out = {{7, "e1", 99s, Time(97s), "e2"}, {8, "e1", 99s, {}, ""}};
  return s;
}

void StateComesThroughOrNotAtAll() {
  const HandoverState s = Sample();
  const std::string bytes = Encode(s);
  const auto read = DecodeHandover(bytes);
  assert(read && read->now == s.now && read->classes == s.classes && read->revision == 41);
  assert(Encode(*read) == bytes && read->recent.size() == 1 && read->out.size() == 2);
  assert(read->endpoints[0].address == "127.0.0.1:1" && read->endpoints[0].entry.rate == 10);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) assert(!DecodeHandover(bytes.substr(0, cut)));
  assert(!DecodeHandover(bytes + "x") && !DecodeHandover("\x63" + bytes.substr(1)));
  CallResult r;
  r.number = 7;
  r.outcome = Outcome::kFull;
  r.told_wait = 5ms;
  const std::string result = EncodeResult(r);
  const auto back = DecodeResult(result);
  assert(back && back->number == 7 && back->outcome == Outcome::kFull && back->told_wait == 5ms);
  assert(!DecodeResult(result.substr(1)) && !DecodeResult(result + "x"));
  std::string wrong = result;
  wrong[8] = 99;  // no such outcome
  assert(!DecodeResult(wrong));
}

void MemoryHoldsAMinuteAndNotWithoutEnd() {
  AttemptMemory memory;
  for (int i = 0; i < 10'000; ++i) memory.Add(Past(i * 1ms, i * 1ms, Outcome::kOk));
  assert(memory.size() == AttemptMemory::kMost);
  memory.Add(Past(200s, 200s, Outcome::kOk));
  assert(memory.size() == 1);
}

// A module that has heard what one before it learnt.
struct Heir {
  explicit Heir(const HandoverState& state, const Ledger& ledger = Ledger()) : sender(SmallSettings(), 3) {
    Rehearse(state, {"safe", "keyed", "unsafe"}, 3, ledger, [&](Time at, const std::vector<Event>& events) {
      assert(at >= last && at <= state.now.wall);
      last = at;
      Step(at, events);
    });
  }
  std::vector<std::string> Step(Time at, const std::vector<Event>& events) {
    std::vector<Action> actions;
    sender.Step(at, events, actions);
    std::vector<std::string> sent;
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) sent.push_back(send->id);
    }
    return sent;
  }
  Sender sender;
  Time last{0};
};

void AWaitToldBeforeIsHeeded() {
  Heir heir(Sample());  // told at 99 s to wait for 3 s
  assert(heir.Step(100s, {Node::Taken("m")}).empty());
  assert(heir.Step(101s + 900ms, {WakeDue{}}).empty());
  assert(heir.Step(102s + 100ms, {WakeDue{}}) == std::vector<std::string>{"m"});
  HandoverState free = Sample();
  free.recent.clear();
  Heir other(free);  // the case can fail: without that attempt it goes at once
  assert(other.Step(100s, {Node::Taken("m")}) == std::vector<std::string>{"m"});
}

void AnOutageSeenBeforeIsKnown() {
  HandoverState s = Sample();
  s.recent.clear();
  for (int i = 0; i < 10; ++i) s.recent.push_back(Past(90s + i * 1s, 90s + i * 1s + 10ms, Outcome::kTimeout));
  Heir heir(s);
  assert(heir.sender.Avoided() == 1);
  // Nothing unsafe goes to a suspect.
  assert(heir.Step(100s, {Node::Taken("m", kUnsafeClass)}).empty());
}

void CallsThatAreOutHoldTheirSlotsUntilTheyComeBack() {
  HandoverState s = Sample();
  s.recent.clear();
  Ledger ledger;
  for (int i = 0; i < 8; ++i) {  // all slots of SmallSettings
    Message m;
    m.request.id = "out" + std::to_string(i);
    m.request.destination = 1;
    m.deadline = 110s;
    m.attempts = 2;
    m.out = true;
    m.out_since = 99s;
    m.out_at = i == 7 ? "gone" : "e1";  // one to an endpoint that the list has lost
    ledger.Add(std::move(m));
  }
  Heir heir(s, ledger);
  assert(heir.Step(100s, {Node::Taken("m")}).empty());
  AttemptEnded e;
  e.id = ModuleId(8);
  e.attempt = 1;
  e.finished = true;
  assert(heir.Step(100s + 1ms, {e}) == std::vector<std::string>{"m"});
  for (std::uint64_t number = 2; number <= 7; ++number) {
    e.id = ModuleId(number);
    heir.Step(100s + 1ms, {e});
  }
  // One that failed is sent again by the module that inherited it, on its third attempt of six.
  e.id = ModuleId(1);
  e.finished = false;
  e.outcome = Outcome::kConnectFailed;
  std::vector<std::string> sent = heir.Step(100s + 2ms, {e});
  for (int i = 0; i < 40 && sent.empty(); ++i) sent = heir.Step(101s + i * 100ms, {WakeDue{}});
  assert(sent == std::vector<std::string>{ModuleId(1)});
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
