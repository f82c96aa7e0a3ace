// Tests of restarts after a kill. Messages without an attempt must be sent. Messages whose attempt may have
// run must be retried only if their class allows it. A second kill right after the restart must not change
// that.
#include <fstream>

#include "../journal/format1_log.h"
#include "base/utf8.h"
#include "config/json.h"
#include "world.h"

namespace sagetally {
namespace {

// Kills a dispatcher with about as many messages without an attempt as may be pending, and once more right
// after the restart. Each message must be sent once, and none may fail.
void UnattemptedMessagesAreSentAfterRestart() {
  for (const bool killed_again : {false, true}) {
    World world(2, 3, 50);
    for (auto& endpoint : world.endpoints) endpoint->default_status = 0;
    world.Start();
    const char* const classes[] = {"aviso", "pedido", "pagamento"};
    std::vector<std::string> ids;
    while (world.CountCalls() < 3) {  // until calls without an answer occupy all slots
      const std::string id = "out" + std::to_string(world.client_requests.size());
      assert(world.AwaitStatus(world.Post("aviso", id)) == 202);
      RunUntil(world.loop, [&] { return world.CountCallsOf(id) == 1; });
    }
    for (int i = 0; i < 40; ++i) {
      ids.push_back("m" + std::to_string(i));
      assert(world.AwaitStatus(world.Post(classes[i % 3], ids.back())) == 202);
    }
    assert(world.CountCalls() == 3);
    world.Kill();
    if (killed_again) {
      world.Start();
      world.Kill();  // the loop has not run, so nothing has been sent
    }
    for (auto& endpoint : world.endpoints) endpoint->Release();
    world.Start();
    RunUntil(world.loop, [&] {
      return std::ranges::all_of(ids, [&](const auto& id) { return world.CountCallsOf(id) == 1; });
    });
    assert(world.agent.notices.empty());
    world.dispatcher->Shutdown();
    event_base_dispatch(world.loop.base());  // returns once no message is pending
    world.Kill();
    const std::size_t calls = world.CountCalls();
    world.Start();  // with no pending message
    assert(world.AwaitStatus(world.Post("aviso", "fresh")) == 202);
    RunUntil(world.loop, [&] { return world.CountCallsOf("fresh") == 1; });
    assert(world.CountCalls() == calls + 1);
  }
}

// The deduplication window counts from the first attempt in the journal, and continues over the restart.
// Within the window a message with a key whose call was in flight must be retried. After the window its
// sender must be notified that it is undeliverable, and it must not be sent.
void DeduplicationWindowContinuesOverRestart() {
  for (const bool has_expired : {false, true}) {
    World world;
    world.repeat_window_ms = has_expired ? 200 : 9000;
    world.endpoints[0]->default_status = 0;
    world.Start();
    assert(world.AwaitStatus(world.Post("pedido", "out")) == 202);
    RunUntil(world.loop, [&] { return world.CountCallsOf("out") == 1; });
    world.Kill();
    world.endpoints[0]->Release();
    const auto killed_at = std::chrono::steady_clock::now();
    // Waits until a window of 200 ms is over.
    RunUntil(world.loop, [&] { return std::chrono::steady_clock::now() > killed_at + 210ms; });
    world.Start();
    RunUntil(world.loop, [&] { return world.CountCallsOf("out") == 2 || world.agent.HasNotice("\"out\""); });
    assert(world.CountCallsOf("out") == (has_expired ? 1 : 2) &&
           world.agent.HasNotice("\"out\"") == has_expired);
  }
}

// Guards against idle clients that use up the descriptors of other parts. Clients have all connections that
// they may have, while discovery is down. When discovery is up again, the dispatcher must reach it, open new
// connections for calls, and open new segments of the journal.
void IdleClientsLeaveDescriptorsForDiscoveryCallsAndJournal() {
  World world(1, 8, 50);
  world.sockets = 64;
  world.disk_mb = 1;
  world.agent.faults.silent = true;
  world.Start();
  std::vector<std::unique_ptr<RawClient>> idle_clients;
  for (int i = 0; i < 80; ++i) {
    idle_clients.push_back(std::make_unique<RawClient>(world.loop, world.dispatcher->port(),
                                                       i % 2 == 0 ? "" : "GET /healthz HTTP/1.1\r\n\r\n"));
  }
  // Clients get a third of the descriptors, of which four are for the CloudEvents server.
  RunUntil(world.loop, [&] { return world.dispatcher->client_connections() == 64 / 3 - 4; });
  world.agent.faults.silent = false;
  RunUntil(world.loop, [&] { return world.agent.watch != nullptr; });
  const std::string body(30000, 'b');
  std::set<std::string> segments;
  for (int i = 0; i < 60; ++i) {  // nearly every message needs a new segment
    assert(world.AwaitStatus(world.Post("aviso", "m" + std::to_string(i), body)) == 202);
    for (const auto& file : std::filesystem::recursive_directory_iterator(world.folder.path)) {
      segments.insert(file.path().filename());
    }
  }
  RunUntil(world.loop, [&] { return world.CountCalls() == 60; });
  assert(segments.size() > 10 && world.dispatcher->client_connections() <= 64 / 3 - 4);
}

// Guards against review/1 after a restart: an older version has recorded ids that are not UTF-8, and the
// notices of their messages must be JSON that the platform can read.
void NoticesOfOldRecordsAreUtf8() {
  World world;
  world.Start();
  world.Kill();
  std::filesystem::remove_all(world.folder.path + "/journal");
  Format1Origin origin;
  origin.id_prefix = "pedido-n\xba-";
  std::ofstream(world.folder.path + "/log", std::ios::binary)
      << MakeFormat1Log(300, false, Time(99), 2, origin);
  world.Start();
  RunUntil(world.loop, [&] { return world.agent.HasNotice("\"pedido-n\xef\xbf\xbd-300\""); });
  assert(world.agent.malformed == 0 && IsUtf8(world.agent.notices) && world.CountCalls() == 0);
}

// Returns how often the notices that the agent has received contain `id`.
int CountNotices(const World& world, const std::string& id) {
  const std::string key = "\"id\":\"" + id + "\"";
  int count = 0;
  for (std::size_t at = world.agent.notices.find(key); at != std::string::npos;
       at = world.agent.notices.find(key, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against review/1 after an upgrade. Version 864f87d was killed with messages pending, or with notices
// that the platform did not accept, four of them with ids that are not UTF-8. Each message must be told once.
void JournalWithUnreadableIdsOfAnOlderVersionIsServed() {
  for (const char* const journal : {"pending", "ended"}) {
    World world;
    std::filesystem::copy(SAGETALLY_GOLDEN "/journal-latin1-ids/" + std::string(journal),
                          world.folder.path + "/journal");
    world.Start();
    std::vector<std::string> ids = {"pedido-n\xef\xbf\xbd-0077", "cut-off-\xef\xbf\xbd",
                                    "overlong-\xef\xbf\xbd\xef\xbf\xbd",
                                    "surrogate-\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd"};
    for (int i = 0; i < 20; ++i) ids.push_back((i < 10 ? "m0" : "m") + std::to_string(i));
    RunUntil(world.loop, [&] {
      return std::ranges::all_of(ids, [&](const auto& id) { return CountNotices(world, id) > 0; });
    });
    assert(world.AwaitStatus(world.Post("aviso", "fresh")) == 202);
    RunUntil(world.loop, [&] { return world.CountCallsOf("fresh") == 1; });
    RunFor(world.loop, 100ms);
    for (const std::string& id : ids) assert(CountNotices(world, id) == 1);
    assert(world.agent.malformed == 0 && world.CountCalls() == 1);
  }
}

// Guards against the same fault in result events. An attribute may have got such bytes by percent-encoding.
void ResultEventsOfOldRecordsAreUtf8() {
  World world;
  std::string received;
  world.sink =
      std::make_unique<HttpServer>(world.loop, Address{"127.0.0.1", 0}, HttpServer::Limits{1 << 20, 200},
                                   [&](const std::shared_ptr<Exchange>& exchange) {
                                     received = exchange->body();
                                     exchange->Respond(204);
                                   });
  world.Start();
  world.Kill();
  std::filesystem::remove_all(world.folder.path + "/journal");
  const Format1Origin origin{
      "/shop|%BA", IngressProtocol::kCloudEvents, {{"ce-id", "%BA\xba"}, {"ce-source", "/shop"}}};
  std::ofstream(world.folder.path + "/log", std::ios::binary)
      << MakeFormat1Log(3, false, Time(99), 2, origin);
  world.Start();
  RunUntil(world.loop, [&] { return !received.empty(); });
  simdjson::dom::parser parser;
  assert(json::Parse(parser, received).is_array() && IsUtf8(received));
  assert(received.find("\"id\":\"\xef\xbf\xbd\xef\xbf\xbd\"") != std::string::npos);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  UnattemptedMessagesAreSentAfterRestart();
  DeduplicationWindowContinuesOverRestart();
  IdleClientsLeaveDescriptorsForDiscoveryCallsAndJournal();
  NoticesOfOldRecordsAreUtf8();
  JournalWithUnreadableIdsOfAnOlderVersionIsServed();
  ResultEventsOfOldRecordsAreUtf8();
  std::puts("6 passed, 0 failed");
}
