// Restarts: unattempted messages are sent, messages that may have been executed are retried only as their
// class allows, and a second kill in between changes nothing.
#include "world.h"

namespace sagetally {
namespace {

// As many unattempted messages as may be pending, and a second kill right after the restart: each is sent
// once, none fails.
void UnattemptedMessagesAreSentAfterRestart() {
  for (const bool killed_again : {false, true}) {
    World w(2, 3, 50);
    for (auto& endpoint : w.endpoints) endpoint->default_status = 0;
    w.Start();
    const char* const classes[] = {"aviso", "pedido", "pagamento"};
    std::vector<std::string> ids;
    while (w.CountCalls() < 3) {  // the slots are taken by calls that are never answered
      const std::string id = "out" + std::to_string(w.client_requests.size());
      assert(w.AwaitStatus(w.Post("aviso", id)) == 202);
      RunUntil(w.loop, [&] { return w.CountCallsOf(id) == 1; });
    }
    for (int i = 0; i < 40; ++i) {
      ids.push_back("m" + std::to_string(i));
      assert(w.AwaitStatus(w.Post(classes[i % 3], ids.back())) == 202);
    }
    assert(w.CountCalls() == 3);
    w.Kill();
    if (killed_again) {
      w.Start();
      w.Kill();  // before the loop has turned: nothing was sent
    }
    for (auto& endpoint : w.endpoints) endpoint->Release();
    w.Start();
    RunUntil(w.loop, [&] {
      return std::ranges::all_of(ids, [&](const auto& id) { return w.CountCallsOf(id) == 1; });
    });
    assert(w.agent.notices.empty());
    w.dispatcher->Shutdown();
    event_base_dispatch(w.loop.base());  // until no message is pending
    w.Kill();
    const std::size_t calls = w.CountCalls();
    w.Start();  // all has ended
    assert(w.AwaitStatus(w.Post("aviso", "fresh")) == 202);
    RunUntil(w.loop, [&] { return w.CountCallsOf("fresh") == 1; });
    assert(w.CountCalls() == calls + 1);
  }
}

// The window counts from the first attempt on record, over the restart: inside of it an in-flight message
// with a key is retried; outside of it the sender is notified that it is undeliverable, and nothing is sent.
void DeduplicationWindowContinuesOverRestart() {
  for (const bool over : {false, true}) {
    World w;
    w.repeat_window_ms = over ? 200 : 9000;
    w.endpoints[0]->default_status = 0;
    w.Start();
    assert(w.AwaitStatus(w.Post("pedido", "out")) == 202);
    RunUntil(w.loop, [&] { return w.CountCallsOf("out") == 1; });
    w.Kill();
    w.endpoints[0]->Release();
    const auto down = std::chrono::steady_clock::now();
    RunUntil(w.loop,
             [&] { return std::chrono::steady_clock::now() > down + 210ms; });  // the window's own time
    w.Start();
    RunUntil(w.loop, [&] { return w.CountCallsOf("out") == 2 || w.agent.HasNotice("\"out\""); });
    assert(w.CountCallsOf("out") == (over ? 1 : 2) && w.agent.HasNotice("\"out\"") == over);
  }
}

// Idle clients have all descriptors that clients may have, and discovery is down. When it is back it is
// reached, calls are made on new connections, and the journal opens its next segments.
void IdleClientsLeaveDescriptorsForDiscoveryCallsAndJournal() {
  World w(1, 8, 50);
  w.sockets = 64;
  w.disk_mb = 1;
  w.agent.faults.silent = true;
  w.Start();
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 80; ++i) {
    crowd.push_back(std::make_unique<RawClient>(w.loop, w.dispatcher->port(),
                                                i % 2 == 0 ? "" : "GET /healthz HTTP/1.1\r\n\r\n"));
  }
  // A third of them, less four of the front for events.
  RunUntil(w.loop, [&] { return w.dispatcher->client_connections() == 64 / 3 - 4; });
  w.agent.faults.silent = false;
  RunUntil(w.loop, [&] { return w.agent.watch != nullptr; });
  const std::string body(30000, 'b');
  std::set<std::string> segments;
  for (int i = 0; i < 60; ++i) {  // each needs a new segment, or nearly so
    assert(w.AwaitStatus(w.Post("aviso", "m" + std::to_string(i), body)) == 202);
    for (const auto& file : std::filesystem::recursive_directory_iterator(w.folder.path)) {
      segments.insert(file.path().filename());
    }
  }
  RunUntil(w.loop, [&] { return w.CountCalls() == 60; });
  assert(segments.size() > 10 && w.dispatcher->client_connections() <= 64 / 3 - 4);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  UnattemptedMessagesAreSentAfterRestart();
  DeduplicationWindowContinuesOverRestart();
  IdleClientsLeaveDescriptorsForDiscoveryCallsAndJournal();
  std::puts("3 passed, 0 failed");
}
