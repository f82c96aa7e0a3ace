// What the door, the drain and the figures decide, without I/O.
#undef NDEBUG
#include "admin/readiness.h"

#include <cassert>
#include <cstdio>
#include <memory>

#include "admin/admin_request.h"
#include "admin/metrics.h"

namespace sagetally {
namespace {

using namespace std::chrono_literals;
using State = ReadCall::State;

void LinesAreReadOneWayOnly() {
  const struct {
    std::string_view bytes;
    State state;
    OperatorCall call;
  } table[] = {
      {"STATUS\n", State::kRead, OperatorCall::kStatus},
      {"METRICS\n", State::kRead, OperatorCall::kMetrics},
      {"PAUSE\r\n", State::kRead, OperatorCall::kPause},
      {"RESUME\n", State::kRead, OperatorCall::kResume},
      {"", State::kUnfinished, OperatorCall::kNone},
      {"STAT", State::kUnfinished, OperatorCall::kNone},
      {"STATUS", State::kUnfinished, OperatorCall::kNone},
      {"STATUS\r", State::kUnfinished, OperatorCall::kNone},
      {"\n", State::kWrong, OperatorCall::kNone},
      {"\r\n", State::kWrong, OperatorCall::kNone},
      {"status\n", State::kWrong, OperatorCall::kNone},
      {"Status\n", State::kWrong, OperatorCall::kNone},
      {" STATUS\n", State::kWrong, OperatorCall::kNone},
      {"STATUS \n", State::kWrong, OperatorCall::kNone},
      {"STATUS\r\r\n", State::kWrong, OperatorCall::kNone},
      {"STATUSES\n", State::kWrong, OperatorCall::kNone},
      {"PAUSE\nRESUME\n", State::kWrong, OperatorCall::kNone},  // neither is done
      {"PAUSE\nx", State::kWrong, OperatorCall::kNone},
      {"GET /healthz HTTP/1.1\r\n", State::kWrong, OperatorCall::kNone},
      {{"PAUSE\0\n", 7}, State::kWrong, OperatorCall::kNone},
      {"\xff\xfe\n", State::kWrong, OperatorCall::kNone},
  };
  for (const auto& row : table) {
    const ReadCall read = ReadOperatorCall(row.bytes);
    assert(read.state == row.state && read.call == row.call);
    assert((read.state == State::kWrong) != read.why.empty());
  }
  assert(ReadOperatorCall(std::string(kMostOperatorLine - 1, 'x')).state == State::kUnfinished);
  assert(ReadOperatorCall(std::string(kMostOperatorLine, 'x')).state == State::kWrong);
  const OperatorAnswers none{[] { return std::string("done\n"); }, {}, {}, {}};
  assert(AnswerTo(ReadOperatorCall("STATUS\n"), none) == "done\n");
  assert(AnswerTo(ReadOperatorCall("NO\n"), none).starts_with("error "));
}

void ReadyHasOneOwner() {
  Readiness r;
  assert(!r.Ready() && !r.Takes(0s) && r.Word(0, 0) == "starting");
  r.Started();
  assert(r.Ready() && r.Takes(0s) && !r.Closing() && r.Word(3, 1) == "ready");
  assert(r.Pause(10s) && !r.Ready() && r.Closing() && r.Word(3, 0) == "draining");
  assert(r.Word(0, 1) == "draining" && r.Word(0, 0) == "drained");
  assert(r.Takes(10s + Readiness::kTakeOn - 1us) && !r.Takes(10s + Readiness::kTakeOn));
  assert(r.Pause(11s));                           // twice is as once:
  assert(!r.Takes(10s + Readiness::kTakeOn));     // ... its times are counted from the first
  assert(r.Resume() && r.Ready() && r.Resume());  // amid a drain, and once more
  assert(!r.Closing() && r.Takes(99s));
  assert(r.Pause(20s) && r.Takes(20s) && r.Resume());
  // Where it ends there is no way back.
  r.Pause(29s);
  r.HandOver();
  assert(!r.Ready() && r.Closing() && !r.Pause(30s) && !r.Resume() && !r.Takes(30s));
  r.Stop(30s);
  assert(r.phase() == Readiness::Phase::kStopping && !r.Pause(30s) && !r.Resume() && !r.Takes(30s));
  r.HandOver();
  assert(r.phase() == Readiness::Phase::kStopping);
  // Ending takes on for as long as a drain does, counted from whichever came first.
  Readiness ending, paused;
  for (Readiness* each : {&ending, &paused}) each->Started();
  ending.Stop(40s);
  assert(!ending.Ready() && ending.Takes(40s) && !ending.Takes(40s + Readiness::kTakeOn));
  ending.Stop(41s);
  assert(!ending.Takes(40s + Readiness::kTakeOn));
  paused.Pause(40s);
  paused.Stop(41s);
  assert(paused.Takes(41s) && !paused.Takes(40s + Readiness::kTakeOn));
  // A pause before it is ready holds when it is; a resume before takes it back.
  Readiness early;
  assert(early.Pause(1s) && early.phase() == Readiness::Phase::kStarting);
  early.Started();
  assert(!early.Ready() && early.Resume() && early.Ready());
  Readiness taken_back;
  assert(taken_back.Pause(1s) && taken_back.Resume());
  taken_back.Started();
  assert(taken_back.Ready());
}

void EachEndMovesOneCount() {
  Figures f({"aviso", "pedido"});
  Message m;
  m.request.message_class = 1;
  m.attempts = 1;
  for (const End end : {End::kDelivered, End::kFailed, End::kRefused, End::kOver}) {
    m.end = end;
    f.Ended(m);
  }
  m.attempts = 0;  // withdrawn before it was sent
  f.Ended(m);
  f.Refused(0);
  f.Refused(7);  // no such class
  m.request.message_class = kNoClass;
  f.Ended(m);
  f.Written();
  assert(f.Text({3, 5, 2}) ==
         "balancer.passed.aviso:0|c\nbalancer.passed.pedido:1|c\n"
         "balancer.dropped.aviso:1|c\nbalancer.dropped.pedido:2|c\n"
         "balancer.bad_gateway.aviso:0|c\nbalancer.bad_gateway.pedido:2|c\n"
         "balancer.upstream_tries:1|c\nbalancer.in_progress:3|g\n"
         "balancer.known_endpoints:5|g\nbalancer.skipped_endpoints:2|g\n");
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  LinesAreReadOneWayOnly();
  ReadyHasOneOwner();
  EachEndMovesOneCount();
  std::puts("3 passed, 0 failed");
}
