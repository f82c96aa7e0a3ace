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
using State = AdminRequest::State;

void LinesAreReadOneWayOnly() {
  const struct {
    std::string_view bytes;
    State state;
    AdminCommand call;
  } table[] = {
      {"STATUS\n", State::kComplete, AdminCommand::kStatus},
      {"METRICS\n", State::kComplete, AdminCommand::kMetrics},
      {"PAUSE\r\n", State::kComplete, AdminCommand::kPause},
      {"RESUME\n", State::kComplete, AdminCommand::kResume},
      {"", State::kIncomplete, AdminCommand::kNone},
      {"STAT", State::kIncomplete, AdminCommand::kNone},
      {"STATUS", State::kIncomplete, AdminCommand::kNone},
      {"STATUS\r", State::kIncomplete, AdminCommand::kNone},
      {"\n", State::kMalformed, AdminCommand::kNone},
      {"\r\n", State::kMalformed, AdminCommand::kNone},
      {"status\n", State::kMalformed, AdminCommand::kNone},
      {"Status\n", State::kMalformed, AdminCommand::kNone},
      {" STATUS\n", State::kMalformed, AdminCommand::kNone},
      {"STATUS \n", State::kMalformed, AdminCommand::kNone},
      {"STATUS\r\r\n", State::kMalformed, AdminCommand::kNone},
      {"STATUSES\n", State::kMalformed, AdminCommand::kNone},
      {"PAUSE\nRESUME\n", State::kMalformed, AdminCommand::kNone},  // neither is done
      {"PAUSE\nx", State::kMalformed, AdminCommand::kNone},
      {"GET /healthz HTTP/1.1\r\n", State::kMalformed, AdminCommand::kNone},
      {{"PAUSE\0\n", 7}, State::kMalformed, AdminCommand::kNone},
      {"\xff\xfe\n", State::kMalformed, AdminCommand::kNone},
  };
  for (const auto& row : table) {
    const AdminRequest read = ParseAdminRequest(row.bytes);
    assert(read.state == row.state && read.command == row.call);
    assert((read.state == State::kMalformed) != read.error.empty());
  }
  assert(ParseAdminRequest(std::string(kMaxAdminLineBytes - 1, 'x')).state == State::kIncomplete);
  assert(ParseAdminRequest(std::string(kMaxAdminLineBytes, 'x')).state == State::kMalformed);
  const AdminHandlers none{[] { return std::string("done\n"); }, {}, {}, {}};
  assert(HandleAdminRequest(ParseAdminRequest("STATUS\n"), none) == "done\n");
  assert(HandleAdminRequest(ParseAdminRequest("NO\n"), none).starts_with("error "));
}

void ReadyHasOneOwner() {
  Readiness r;
  assert(!r.IsReady() && !r.IsAccepting(0s) && r.StatusWord(0, 0) == "starting");
  r.OnStarted();
  assert(r.IsReady() && r.IsAccepting(0s) && !r.IsClosingConnections() && r.StatusWord(3, 1) == "ready");
  assert(r.Pause(10s) && !r.IsReady() && r.IsClosingConnections() && r.StatusWord(3, 0) == "draining");
  assert(r.StatusWord(0, 1) == "draining" && r.StatusWord(0, 0) == "drained");
  assert(r.IsAccepting(10s + Readiness::kAcceptDuration - 1us) &&
         !r.IsAccepting(10s + Readiness::kAcceptDuration));
  assert(r.Pause(11s));                                      // twice is as once:
  assert(!r.IsAccepting(10s + Readiness::kAcceptDuration));  // ... its times are counted from the first
  assert(r.Resume() && r.IsReady() && r.Resume());           // amid a drain, and once more
  assert(!r.IsClosingConnections() && r.IsAccepting(99s));
  assert(r.Pause(20s) && r.IsAccepting(20s) && r.Resume());
  // Where it ends there is no way back.
  r.Pause(29s);
  r.HandOver();
  assert(!r.IsReady() && r.IsClosingConnections() && !r.Pause(30s) && !r.Resume() && !r.IsAccepting(30s));
  r.Stop(30s);
  assert(r.phase() == Readiness::Phase::kStopping && !r.Pause(30s) && !r.Resume() && !r.IsAccepting(30s));
  r.HandOver();
  assert(r.phase() == Readiness::Phase::kStopping);
  // Ending takes on for as long as a drain does, counted from whichever came first.
  Readiness ending, paused;
  for (Readiness* each : {&ending, &paused}) each->OnStarted();
  ending.Stop(40s);
  assert(!ending.IsReady() && ending.IsAccepting(40s) &&
         !ending.IsAccepting(40s + Readiness::kAcceptDuration));
  ending.Stop(41s);
  assert(!ending.IsAccepting(40s + Readiness::kAcceptDuration));
  paused.Pause(40s);
  paused.Stop(41s);
  assert(paused.IsAccepting(41s) && !paused.IsAccepting(40s + Readiness::kAcceptDuration));
  // A pause before it is ready holds when it is; a resume before takes it back.
  Readiness early;
  assert(early.Pause(1s) && early.phase() == Readiness::Phase::kStarting);
  early.OnStarted();
  assert(!early.IsReady() && early.Resume() && early.IsReady());
  Readiness taken_back;
  assert(taken_back.Pause(1s) && taken_back.Resume());
  taken_back.OnStarted();
  assert(taken_back.IsReady());
}

void EachEndMovesOneCount() {
  Metrics f({"aviso", "pedido"});
  Message m;
  m.request.message_class = 1;
  m.attempts = 1;
  for (const FinalStatus end :
       {FinalStatus::kDelivered, FinalStatus::kFailed, FinalStatus::kRejected, FinalStatus::kExpired}) {
    m.final_status = end;
    f.RecordCompletion(m);
  }
  m.attempts = 0;  // withdrawn before it was sent
  f.RecordCompletion(m);
  f.RecordRejection(0);
  f.RecordRejection(7);  // no such class
  m.request.message_class = kNoClass;
  f.RecordCompletion(m);
  f.RecordCallWritten();
  assert(f.FormatStatsd({3, 5, 2}) ==
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
