// One test with real sockets for each rule of the platform's protocol.
#include "world.h"

namespace sagetally {
namespace {

void DeliversWithIdKeyBodyAndDeadline() {
  World w;
  w.Start();
  const std::string body("a\0\r\n\xff z", 7);
  ClientRequest& ask = w.Post("pedido", "m1", body);
  assert(w.AwaitStatus(ask) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });
  const ReceivedCall& call = w.endpoints[0]->calls[0];
  assert(call.id == "m1" && call.key == "k-m1" && call.body == body);
  assert(ParseDeadline(call.deadline).value() > 0ms);
}

void RejectsMessagesAboveThePendingLimit() {
  World w(1, 2, 4);
  w.endpoints[0]->default_status = 0;
  w.Start();
  int accepted = 0;
  int rejected = 0;
  for (int i = 0; i < 6; ++i) {
    const int code = w.AwaitStatus(w.Post("aviso", "m" + std::to_string(i)));
    accepted += code == 202;
    rejected += code == 429;
  }
  assert(accepted >= 3 && accepted <= 4 && rejected == 6 - accepted);
  assert(w.CountCalls() <= 2);  // never beyond the slots
}

void RejectsMessagesWhenTheDiskBudgetIsFull() {
  World w;
  w.disk_mb = 1;
  w.endpoints[0]->default_status = 0;
  w.Start();
  const std::string body(60000, 'b');
  int accepted = 0;
  while (w.AwaitStatus(w.Post("aviso", "m" + std::to_string(accepted), body)) == 202) assert(++accepted < 40);
  assert(w.client_requests.back()->status_code == 429 &&
         HeaderValue(w.client_requests.back()->headers, "Retry-After") == "1.000");
  std::size_t bytes = 0;
  for (const auto& file : std::filesystem::recursive_directory_iterator(w.folder.path)) {
    if (file.is_regular_file()) bytes += file.file_size();
  }
  assert(accepted > 3 && bytes < 1'000'000);
}

void RejectsMalformedRequests() {
  World w;
  w.Start();
  const Headers good = {
      {"X-Request-Id", "m"}, {"X-Class", "aviso"}, {"X-Deadline", "900m"}, {"X-Envelope", "dest=7"}};
  for (std::size_t i = 0; i < good.size(); ++i) {
    for (const char* bad : {"", "-", "nonsense=1"}) {
      Headers headers = good;
      headers[i].second = bad;
      if (i == 0 && *bad != 0) continue;  // any word is an id
      if (i == 1 && *bad == 0) continue;  // the path names the class too
      const std::string path = i == 1 ? "/x" : "/aviso";
      assert(w.AwaitStatus(w.PostRaw(path, headers, "x")) == 400);
    }
  }
  assert(w.AwaitStatus(w.PostRaw("/aviso", good, "x")) == 202);
}

void NonIdempotentMessageIsNotRetriedAfterAnError() {
  World w(2);
  for (auto& endpoint : w.endpoints) endpoint->default_status = 500;
  w.agent.notice_statuses = {503, 500};  // the notification is sent until it is acknowledged
  w.Start();
  assert(w.AwaitStatus(w.Post("pagamento", "p1")) == 202);
  RunUntil(w.loop, [&] { return w.agent.HasNotice(R"({"id":"p1","status":"undeliverable"})"); });
  assert(w.CountCallsOf("p1") == 1);
}

void IdempotentMessageIsRetriedAfterAnError() {
  World w;
  w.endpoints[0]->script = {500};
  w.Start();
  assert(w.AwaitStatus(w.Post("aviso", "a1")) == 202);
  RunUntil(w.loop, [&] { return w.CountCallsOf("a1") == 2; });
}

// A rejected connection proves that nothing was executed: even a message that is not idempotent is sent
// elsewhere.
void NonIdempotentMessageIsRetriedAfterAConnectionError() {
  World w(2);
  w.ports[0] = 1;  // nothing listens there
  w.Start();
  for (int i = 0; i < 3; ++i) assert(w.AwaitStatus(w.Post("pagamento", "p" + std::to_string(i))) == 202);
  RunUntil(w.loop, [&] { return w.endpoints[1]->calls.size() == 3; });
  assert(w.agent.notices.empty());
}

void RetryAfterDelaysTheWholeDestination() {
  World w(2);
  for (auto& endpoint : w.endpoints) {
    endpoint->script = {429};
    endpoint->headers = {{"X-Retry-In-Ms", "400"}};
  }
  w.endpoints[1]->script.clear();
  w.Start();
  const auto start = std::chrono::steady_clock::now();
  while (w.endpoints[0]->calls.empty()) {  // until the one that answers with a delay was called
    assert(w.AwaitStatus(w.Post("aviso", "a" + std::to_string(w.client_requests.size()))) == 202);
  }
  const auto answered_at = w.endpoints[0]->calls[0].at;
  assert(answered_at >= start);
  RunFor(w.loop, 20ms);  // the answer is on its way
  const std::size_t before = w.CountCalls();
  assert(w.AwaitStatus(w.Post("aviso", "late")) == 202);
  RunUntil(w.loop, [&] { return w.CountCallsOf("late") == 1; });
  for (const auto& endpoint : w.endpoints) {
    for (const ReceivedCall& call : endpoint->calls)
      assert(call.id != "late" || call.at >= answered_at + 390ms);
  }
  assert(w.CountCalls() > before);
}

void DrainingEndpointGetsNoNewCalls() {
  World w(2);
  w.Start();
  RunUntil(w.loop, [&] { return w.agent.watch != nullptr; });
  assert(w.agent.watch_requests[0].ends_with("after=41"));
  w.agent.SendWatchLine("{\"rev\":42,\"all\":false,\"targets\":[" + w.Entry(0, "terminating") + "]}");
  w.agent.SendWatchLine("this is no list");  // one log line, and the list stays
  w.agent.EndWatch();
  RunUntil(w.loop, [&] { return w.agent.watch_requests.size() == 2; });
  assert(w.agent.watch_requests[1].ends_with("after=42"));  // resumed after its version
  for (int i = 0; i < 6; ++i) assert(w.AwaitStatus(w.Post("aviso", "a" + std::to_string(i))) == 202);
  RunUntil(w.loop, [&] { return w.endpoints[1]->calls.size() == 6; });
  assert(w.endpoints[0]->calls.empty());
}

void SilentCallFailsAtTheDeadline() {
  World w;
  w.endpoints[0]->default_status = 0;
  w.Start();
  assert(w.AwaitStatus(w.Post("pagamento", "p1", "x", "300m")) == 202);
  RunUntil(w.loop, [&] { return w.agent.HasNotice("\"p1\",\"status\":\"undeliverable\""); });
  assert(w.CountCalls() == 1);
}

void PendingMessagesEndAfterAKill() {
  World w(1, 2);
  w.endpoints[0]->default_status = 0;
  w.Start();
  assert(w.AwaitStatus(w.Post("pagamento", "out")) == 202);
  assert(w.AwaitStatus(w.Post("aviso", "again")) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 2; });
  for (int i = 0; i < 3; ++i)
    assert(w.AwaitStatus(w.Post("pagamento", "pending" + std::to_string(i))) == 202);
  w.Kill();
  w.endpoints[0]->pending_calls.clear();
  w.endpoints[0]->default_status = 200;
  w.Start();
  RunUntil(w.loop, [&] {
    return w.agent.HasNotice(R"("out","status":"undeliverable")") && w.CountCallsOf("again") == 2 &&
           w.CountCallsOf("pending0") + w.CountCallsOf("pending1") + w.CountCallsOf("pending2") == 3;
  });
  assert(w.CountCallsOf("out") == 1);  // it may have been executed, and must not be again
  RunFor(w.loop, 50ms);
  w.Kill();
  w.Start();  // all has ended: nothing is sent or notified again
  const std::size_t calls = w.CountCalls();
  const std::size_t notifications = w.agent.notices.size();
  assert(w.AwaitStatus(w.Post("aviso", "fresh")) == 202);
  RunUntil(w.loop, [&] { return w.CountCallsOf("fresh") == 1; });
  assert(w.CountCalls() == calls + 1 && w.agent.notices.size() == notifications);
}

void ShutdownStopsAcceptingAndFinishesCalls() {
  World w;
  w.endpoints[0]->default_status = 0;
  w.Start();
  assert(w.AwaitStatus(w.Post("aviso", "a1")) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });
  const auto start = std::chrono::steady_clock::now();
  w.dispatcher->Shutdown();
  RawClient slow(w.loop, w.dispatcher->port(), "POST /aviso HTTP/1.1\r\n");  // whole after the last moment
  ClientRequest& late = w.Post(
      "aviso", "a2");  // the platform's frontend doesn't know of the shutdown yet: accepted, and delivered
  assert(w.AwaitStatus(late) == 202 && HeaderValue(late.headers, "Connection") == "close");
  RunUntil(w.loop, [&] { return w.CountCallsOf("a2") == 1; });
  RunUntil(w.loop,
           [&] { return std::chrono::steady_clock::now() > start + Readiness::kAcceptDuration + 50ms; });
  slow.Write("X-Request-Id: a3\r\nX-Class: aviso\r\nX-Deadline: 900m\r\nX-Envelope: dest=7\r\n\r\n");
  RunUntil(w.loop, [&] { return slow.received.find("\r\n\r\n") != std::string::npos; });
  assert(slow.received.find(" 503 ") != std::string::npos);
  w.endpoints[0]->Release();
  event_base_dispatch(w.loop.base());  // the shutdown breaks it
  assert(std::chrono::steady_clock::now() - start < 3500ms);
  assert(w.CountCallsOf("a3") == 0 && w.agent.notices.empty());
}

// What was accepted during the shutdown and could not be sent any more is sent by the next process.
void MessagesAcceptedDuringShutdownAreSentByTheNextProcess() {
  World w(1, 1);
  w.endpoints[0]->default_status = 0;
  w.Start();
  assert(w.AwaitStatus(w.Post("aviso", "a1")) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });  // the one slot
  w.dispatcher->Shutdown();
  assert(w.AwaitStatus(w.Post("aviso", "a2")) == 202);
  event_base_dispatch(w.loop.base());
  w.Kill();
  const std::size_t before = w.CountCallsOf("a2");
  w.endpoints[0]->Release();
  w.Start();
  RunUntil(w.loop, [&] { return w.CountCallsOf("a2") == before + 1; });
}

// What uses discovery continues at the new address after the last revision; calls and pending messages are
// not affected.
void ReloadMovesWatchAndNotificationsToTheNewAddress() {
  World w(1, 1);
  loadtest::Agent other(w.loop);
  w.endpoints[0]->default_status = 0;
  w.Start();
  RunUntil(w.loop, [&] { return w.agent.watch != nullptr; });
  w.agent.SendWatchLine("{\"rev\":42,\"all\":false,\"targets\":[]}");
  assert(w.AwaitStatus(w.Post("pagamento", "out")) == 202 &&
         w.AwaitStatus(w.Post("aviso", "pending")) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });
  Config next = ParseWithoutVariables(w.ConfigText());
  next.peer_listen = "127.0.0.1:1";
  bool rejected = false;
  try {
    w.dispatcher->Reload(next);
  } catch (const std::exception&) {
    rejected = true;
  }
  assert(rejected);  // and nothing of it is used
  next.peer_listen = "";
  next.discovery.port = other.port();
  w.dispatcher->Reload(next);
  RunUntil(w.loop, [&] { return other.watch != nullptr; });
  assert(w.agent.watch_requests.size() == 1 && other.watch_requests[0].ends_with("after=42"));
  w.endpoints[0]->script = {500};
  for (const auto& e : std::exchange(w.endpoints[0]->pending_calls, {})) e->Answer(500);
  RunUntil(w.loop, [&] { return other.HasNotice(R"({"id":"out","status":"undeliverable"})"); });
  RunUntil(w.loop, [&] { return w.CountCallsOf("pending") > 0; });
  assert(w.agent.notices.empty() && w.CountCallsOf("out") == 1);
}

// Guards against a client that closes before it is answered: its message is withdrawn, and nothing is left
// pending.
void MessageOfADisconnectedClientIsWithdrawn() {
  World w;
  w.Start();
  for (int i = 0; i < 5; ++i) {
    ClientRequest gone(
        w.loop, w.dispatcher->port(), "/aviso",
        {{"X-Request-Id", "g"}, {"X-Class", "aviso"}, {"X-Deadline", "400m"}, {"X-Envelope", "dest=7"}}, "x");
    event_base_loop(w.loop.base(), EVLOOP_ONCE);
  }
  assert(w.AwaitStatus(w.Post("aviso", "a1")) == 202);
  RunUntil(w.loop, [&] { return w.CountCallsOf("a1") == 1; });
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
  SilentCallFailsAtTheDeadline();
  PendingMessagesEndAfterAKill();
  ShutdownStopsAcceptingAndFinishesCalls();
  MessagesAcceptedDuringShutdownAreSentByTheNextProcess();
  MessageOfADisconnectedClientIsWithdrawn();
  ReloadMovesWatchAndNotificationsToTheNewAddress();
  std::puts("15 passed, 0 failed");
}
