// Tests of the rules of the platform's protocol on real sockets, one test for each rule.
#include "world.h"

namespace sagetally {
namespace {

void DeliversWithIdKeyBodyAndDeadline() {
  World world;
  world.Start();
  const std::string body("a\0\r\n\xff z", 7);
  ClientRequest& request = world.Post("pedido", "m1", body);
  assert(world.AwaitStatus(request) == 202);
  RunUntil(world.loop, [&] { return world.CountCalls() == 1; });
  const ReceivedCall& call = world.endpoints[0]->calls[0];
  assert(call.id == "m1" && call.key == "k-m1" && call.body == body);
  assert(ParseDeadline(call.deadline).value() > 0ms);
}

void RejectsMessagesAboveThePendingLimit() {
  World world(1, 2, 4);
  world.endpoints[0]->default_status = 0;
  world.Start();
  int accepted = 0;
  int rejected = 0;
  for (int i = 0; i < 6; ++i) {
    const int status = world.AwaitStatus(world.Post("aviso", "m" + std::to_string(i)));
    accepted += status == 202;
    rejected += status == 429;
  }
  assert(accepted >= 3 && accepted <= 4 && rejected == 6 - accepted);
  assert(world.CountCalls() <= 2);  // the limit of concurrent calls
}

void RejectsMessagesWhenTheDiskBudgetIsFull() {
  World world;
  world.disk_mb = 1;
  world.endpoints[0]->default_status = 0;
  world.Start();
  const std::string body(60000, 'b');
  int accepted = 0;
  while (world.AwaitStatus(world.Post("aviso", "m" + std::to_string(accepted), body)) == 202)
    assert(++accepted < 40);
  assert(world.client_requests.back()->status_code == 429 &&
         HeaderValue(world.client_requests.back()->headers, "Retry-After") == "1.000");
  std::size_t bytes = 0;
  for (const auto& file : std::filesystem::recursive_directory_iterator(world.folder.path)) {
    if (file.is_regular_file()) bytes += file.file_size();
  }
  assert(accepted > 3 && bytes < 1'000'000);
}

void RejectsMalformedRequests() {
  World world;
  world.Start();
  const Headers good = {
      {"X-Request-Id", "m"}, {"X-Class", "aviso"}, {"X-Deadline", "900m"}, {"X-Envelope", "dest=7"}};
  for (std::size_t i = 0; i < good.size(); ++i) {
    for (const char* bad : {"", "-", "nonsense=1"}) {
      Headers headers = good;
      headers[i].second = bad;
      if (i == 0 && *bad != 0) continue;  // any text but an empty one is a valid id
      if (i == 1 && *bad == 0) continue;  // the path names the class too
      const std::string path = i == 1 ? "/x" : "/aviso";
      assert(world.AwaitStatus(world.PostRaw(path, headers, "x")) == 400);
    }
  }
  assert(world.AwaitStatus(world.PostRaw("/aviso", good, "x")) == 202);
}

void NonIdempotentMessageIsNotRetriedAfterAnError() {
  World world(2);
  for (auto& endpoint : world.endpoints) endpoint->default_status = 500;
  world.agent.notice_statuses = {503, 500};  // the notification must be sent until it is acknowledged
  world.Start();
  assert(world.AwaitStatus(world.Post("pagamento", "p1")) == 202);
  RunUntil(world.loop, [&] { return world.agent.HasNotice(R"({"id":"p1","status":"undeliverable"})"); });
  assert(world.CountCallsOf("p1") == 1);
}

void IdempotentMessageIsRetriedAfterAnError() {
  World world;
  world.endpoints[0]->script = {500};
  world.Start();
  assert(world.AwaitStatus(world.Post("aviso", "a1")) == 202);
  RunUntil(world.loop, [&] { return world.CountCallsOf("a1") == 2; });
}

// A refused connection proves that the call did not run, so even a message that is not idempotent must be
// sent to another endpoint.
void NonIdempotentMessageIsRetriedAfterAConnectionError() {
  World world(2);
  world.ports[0] = 1;  // nothing listens there
  world.Start();
  for (int i = 0; i < 3; ++i)
    assert(world.AwaitStatus(world.Post("pagamento", "p" + std::to_string(i))) == 202);
  RunUntil(world.loop, [&] { return world.endpoints[1]->calls.size() == 3; });
  assert(world.agent.notices.empty());
}

void RetryAfterDelaysTheWholeDestination() {
  World world(2);
  for (auto& endpoint : world.endpoints) {
    endpoint->script = {429};
    endpoint->headers = {{"X-Retry-In-Ms", "400"}};
  }
  world.endpoints[1]->script.clear();
  world.Start();
  const auto start = std::chrono::steady_clock::now();
  while (world.endpoints[0]->calls.empty()) {  // until the endpoint that answers 429 was called
    assert(world.AwaitStatus(world.Post("aviso", "a" + std::to_string(world.client_requests.size()))) == 202);
  }
  const auto answered_at = world.endpoints[0]->calls[0].received_at;
  assert(answered_at >= start);
  RunFor(world.loop, 20ms);  // until the dispatcher has received the response
  const std::size_t before = world.CountCalls();
  assert(world.AwaitStatus(world.Post("aviso", "late")) == 202);
  RunUntil(world.loop, [&] { return world.CountCallsOf("late") == 1; });
  for (const auto& endpoint : world.endpoints) {
    for (const ReceivedCall& call : endpoint->calls)
      assert(call.id != "late" || call.received_at >= answered_at + 390ms);
  }
  assert(world.CountCalls() > before);
}

void DrainingEndpointGetsNoNewCalls() {
  World world(2);
  world.Start();
  RunUntil(world.loop, [&] { return world.agent.watch != nullptr; });
  assert(world.agent.watch_requests[0].ends_with("after=41"));
  world.agent.SendWatchLine("{\"rev\":42,\"all\":false,\"targets\":[" + world.Entry(0, "terminating") + "]}");
  world.agent.SendWatchLine("this is no list");  // is logged, and must not change the list
  world.agent.EndWatch();
  RunUntil(world.loop, [&] { return world.agent.watch_requests.size() == 2; });
  assert(world.agent.watch_requests[1].ends_with("after=42"));  // continues after the last revision
  for (int i = 0; i < 6; ++i) assert(world.AwaitStatus(world.Post("aviso", "a" + std::to_string(i))) == 202);
  RunUntil(world.loop, [&] { return world.endpoints[1]->calls.size() == 6; });
  assert(world.endpoints[0]->calls.empty());
}

void UnansweredCallFailsAtTheDeadline() {
  World world;
  world.endpoints[0]->default_status = 0;
  world.Start();
  assert(world.AwaitStatus(world.Post("pagamento", "p1", "x", "300m")) == 202);
  RunUntil(world.loop, [&] { return world.agent.HasNotice("\"p1\",\"status\":\"undeliverable\""); });
  assert(world.CountCalls() == 1);
}

void PendingMessagesAreCompletedAfterAKill() {
  World world(1, 2);
  world.endpoints[0]->default_status = 0;
  world.Start();
  assert(world.AwaitStatus(world.Post("pagamento", "out")) == 202);
  assert(world.AwaitStatus(world.Post("aviso", "again")) == 202);
  RunUntil(world.loop, [&] { return world.CountCalls() == 2; });
  for (int i = 0; i < 3; ++i)
    assert(world.AwaitStatus(world.Post("pagamento", "pending" + std::to_string(i))) == 202);
  world.Kill();
  world.endpoints[0]->pending_calls.clear();
  world.endpoints[0]->default_status = 200;
  world.Start();
  RunUntil(world.loop, [&] {
    return world.agent.HasNotice(R"("out","status":"undeliverable")") && world.CountCallsOf("again") == 2 &&
           world.CountCallsOf("pending0") + world.CountCallsOf("pending1") + world.CountCallsOf("pending2") ==
               3;
  });
  assert(world.CountCallsOf("out") == 1);  // its call may have run, so it must not be sent again
  RunFor(world.loop, 50ms);
  world.Kill();
  world.Start();  // every message is complete: nothing may be sent or notified again
  const std::size_t calls = world.CountCalls();
  const std::size_t notifications = world.agent.notices.size();
  assert(world.AwaitStatus(world.Post("aviso", "fresh")) == 202);
  RunUntil(world.loop, [&] { return world.CountCallsOf("fresh") == 1; });
  assert(world.CountCalls() == calls + 1 && world.agent.notices.size() == notifications);
}

void ShutdownStopsAcceptingAndFinishesCalls() {
  World world;
  world.endpoints[0]->default_status = 0;
  world.Start();
  assert(world.AwaitStatus(world.Post("aviso", "a1")) == 202);
  RunUntil(world.loop, [&] { return world.CountCalls() == 1; });
  const auto start = std::chrono::steady_clock::now();
  world.dispatcher->Shutdown();
  RawClient slow(world.loop, world.dispatcher->port(), "POST /aviso HTTP/1.1\r\n");  // completed too late
  // The platform's load balancer doesn't know of the shutdown yet, so a message must still be accepted and
  // delivered.
  ClientRequest& late = world.Post("aviso", "a2");
  assert(world.AwaitStatus(late) == 202 && HeaderValue(late.headers, "Connection") == "close");
  RunUntil(world.loop, [&] { return world.CountCallsOf("a2") == 1; });
  RunUntil(world.loop,
           [&] { return std::chrono::steady_clock::now() > start + Readiness::kAcceptDuration + 50ms; });
  slow.Write("X-Request-Id: a3\r\nX-Class: aviso\r\nX-Deadline: 900m\r\nX-Envelope: dest=7\r\n\r\n");
  RunUntil(world.loop, [&] { return slow.received.find("\r\n\r\n") != std::string::npos; });
  assert(slow.received.find(" 503 ") != std::string::npos);
  world.endpoints[0]->Release();
  event_base_dispatch(world.loop.base());  // returns when the shutdown breaks the loop
  assert(std::chrono::steady_clock::now() - start < 3500ms);
  assert(world.CountCallsOf("a3") == 0 && world.agent.notices.empty());
}

// A message that is accepted during the shutdown and can't be sent any more must be sent by the next
// process.
void MessagesAcceptedDuringShutdownAreSentByTheNextProcess() {
  World world(1, 1);
  world.endpoints[0]->default_status = 0;
  world.Start();
  assert(world.AwaitStatus(world.Post("aviso", "a1")) == 202);
  RunUntil(world.loop, [&] { return world.CountCalls() == 1; });  // occupies the only slot
  world.dispatcher->Shutdown();
  assert(world.AwaitStatus(world.Post("aviso", "a2")) == 202);
  event_base_dispatch(world.loop.base());
  world.Kill();
  const std::size_t before = world.CountCallsOf("a2");
  world.endpoints[0]->Release();
  world.Start();
  RunUntil(world.loop, [&] { return world.CountCallsOf("a2") == before + 1; });
}

// After a reload the watch and the notifications must continue at discovery's new address, the watch after
// the last revision. Calls and pending messages must not be affected.
void ReloadMovesWatchAndNotificationsToTheNewAddress() {
  World world(1, 1);
  loadtest::Agent new_agent(world.loop);
  world.endpoints[0]->default_status = 0;
  world.Start();
  RunUntil(world.loop, [&] { return world.agent.watch != nullptr; });
  world.agent.SendWatchLine("{\"rev\":42,\"all\":false,\"targets\":[]}");
  assert(world.AwaitStatus(world.Post("pagamento", "out")) == 202 &&
         world.AwaitStatus(world.Post("aviso", "pending")) == 202);
  RunUntil(world.loop, [&] { return world.CountCalls() == 1; });
  Config new_config = ParseConfigWithoutEnvironment(world.ConfigText());
  new_config.peer_listen = "127.0.0.1:1";
  bool rejected = false;
  try {
    world.dispatcher->Reload(new_config);
  } catch (const std::exception&) {
    rejected = true;
  }
  assert(rejected);  // and no setting of it is applied
  new_config.peer_listen = "";
  new_config.discovery.port = new_agent.port();
  world.dispatcher->Reload(new_config);
  RunUntil(world.loop, [&] { return new_agent.watch != nullptr; });
  assert(world.agent.watch_requests.size() == 1 && new_agent.watch_requests[0].ends_with("after=42"));
  world.endpoints[0]->script = {500};
  for (const auto& call : std::exchange(world.endpoints[0]->pending_calls, {})) call->Answer(500);
  RunUntil(world.loop, [&] { return new_agent.HasNotice(R"({"id":"out","status":"undeliverable"})"); });
  RunUntil(world.loop, [&] { return world.CountCallsOf("pending") > 0; });
  assert(world.agent.notices.empty() && world.CountCallsOf("out") == 1);
}

// Guards against a client that disconnects before it has a response. Its message must be withdrawn, and must
// not stay pending.
void MessageOfADisconnectedClientIsWithdrawn() {
  World world;
  world.Start();
  for (int i = 0; i < 5; ++i) {
    ClientRequest gone(
        world.loop, world.dispatcher->port(), "/aviso",
        {{"X-Request-Id", "g"}, {"X-Class", "aviso"}, {"X-Deadline", "400m"}, {"X-Envelope", "dest=7"}}, "x");
    event_base_loop(world.loop.base(), EVLOOP_ONCE);
  }
  assert(world.AwaitStatus(world.Post("aviso", "a1")) == 202);
  RunUntil(world.loop, [&] { return world.CountCallsOf("a1") == 1; });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  DeliversWithIdKeyBodyAndDeadline();
  RejectsMessagesAboveThePendingLimit();
  RejectsMessagesWhenTheDiskBudgetIsFull();
  RejectsMalformedRequests();
  NonIdempotentMessageIsNotRetriedAfterAnError();
  IdempotentMessageIsRetriedAfterAnError();
  NonIdempotentMessageIsRetriedAfterAConnectionError();
  RetryAfterDelaysTheWholeDestination();
  DrainingEndpointGetsNoNewCalls();
  UnansweredCallFailsAtTheDeadline();
  PendingMessagesAreCompletedAfterAKill();
  ShutdownStopsAcceptingAndFinishesCalls();
  MessagesAcceptedDuringShutdownAreSentByTheNextProcess();
  MessageOfADisconnectedClientIsWithdrawn();
  ReloadMovesWatchAndNotificationsToTheNewAddress();
  std::puts("15 passed, 0 failed");
}
