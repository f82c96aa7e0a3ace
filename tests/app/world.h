// A fixture for tests with real sockets: one dispatcher on an event loop, with stubs of everything around it
// (endpoints, the platform's agent, a sink of result events, and clients). Everything runs on one thread.
#ifndef SAGETALLY_TESTS_APP_WORLD_H_
#define SAGETALLY_TESTS_APP_WORLD_H_

#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "app/dispatcher.h"
#include "http_test_clients.h"
#include "loadtest/stub/agent.h"
#include "loopback.h"
#include "stub_endpoint.h"

namespace sagetally {

// Parses a configuration as if no environment variable were set.
inline Config ParseConfigWithoutEnvironment(const std::string& text) {
  return ParseConfig(text, [](const char*) -> const char* { return nullptr; });
}

// The dispatcher and its stubs. The members that configure the dispatcher may be changed before Start().
struct World {
  // Starts the stub endpoints.
  explicit World(int endpoint_count = 1, int concurrent_calls = 8, int pending_messages = 50)
      : max_concurrent_calls(concurrent_calls), max_pending_messages(pending_messages) {
    std::signal(SIGPIPE, SIG_IGN);  // main() does the same
    for (int i = 0; i < endpoint_count; ++i) {
      endpoints.push_back(std::make_unique<StubEndpoint>(loop));
      ports.push_back(endpoints.back()->port());
    }
  }

  // Returns an entry of the endpoint list as discovery sends it. Endpoint `i` belongs to destination 7, or
  // with `one_destination_each` to destination 7 + i.
  std::string Entry(std::size_t i, const std::string& state = "in_service") const {
    return R"({"uid":"s-)" + std::to_string(i) + R"(","endpoint":")" + At(ports[i]) +
           R"(","az":"z","model":"k","pod_group":)" + std::to_string(7 + (one_destination_each ? i : 0)) +
           R"(,"state":")" + state + R"(","capacity_hint":)" + std::to_string(rate) + R"(,"boot_ms":0})";
  }
  // Returns a full snapshot of the endpoint list, with the revision 41.
  std::string List(const std::string& state = "in_service") const {
    std::string entries;
    for (std::size_t i = 0; i < ports.size(); ++i) entries += (i == 0 ? "" : ",") + Entry(i, state);
    return R"({"rev":41,"all":true,"targets":[)" + entries + "]}";
  }
  // Returns the text of the platform's configuration.
  std::string ConfigText() const {
    return std::string(R"({"name":"n0","listen":"127.0.0.1:0",)") +
           (admin ? R"("admin":"127.0.0.1:0",)" : "") + R"("discovery":")" + At(agent.port()) +
           R"(","state":")" + folder.path + R"(","seed":"1f","limits":{"disk_mb":)" +
           (std::ostringstream() << disk_mb).str() + R"(,"sockets":)" + std::to_string(sockets) +
           R"(},"known":)" + List() + R"(,"settings":{"flavors":["k"],"zones":["z"],"grades":[)" +
           R"({"name":"aviso","slo":2000,"deadline":24000,"idempotency":"pure","credit":1},)" +
           R"({"name":"pedido","slo":2500,"deadline":16000,"idempotency":"token",)" + R"("repeatWindow":)" +
           std::to_string(repeat_window_ms) + R"(,"credit":2},)" +
           R"({"name":"pagamento","slo":2500,"deadline":20000,"idempotency":"side_effect","credit":5}],)" +
           R"("specifics":{"callsOut":)" + std::to_string(max_concurrent_calls) + R"(},"caps":{"mostHeld":)" +
           std::to_string(max_pending_messages) +
           R"(,"maxAttempts":6,"cancel":true,"connIdle":15000,"connectTimeout":1500},)" +
           R"("rules":{"coldShare":0.3,"fallMultiple":1.5,"tipAfter":1500,"warmWithin":11000}}})";
  }
  // Creates the dispatcher and starts it.
  void Start() {
    NodeFile node_file;
    node_file.cloudevents = CloudEventsSettings{{"127.0.0.1", 0}, {}, "/results"};
    if (sink) node_file.cloudevents->sink = Address{"127.0.0.1", sink->port()};
    node_file.dead_letters = dead_letters;
    node_file.journal = journal;
    auto new_dispatcher =
        std::make_unique<Dispatcher>(loop, log, ParseConfigWithoutEnvironment(ConfigText()), node_file);
    new_dispatcher->Start();
    dispatcher = std::move(new_dispatcher);
  }
  // Destroys the dispatcher without a shutdown: like after SIGKILL, nothing is sent or written any more.
  void Kill() { dispatcher.reset(); }

  // Submits a message to destination 7 by the platform's protocol.
  ClientRequest& Post(const std::string& class_name, const std::string& id, const std::string& body = "x",
                      const std::string& deadline = "9000m") {
    const Headers headers = {{"X-Request-Id", id},
                             {"X-Class", class_name},
                             {"X-Deadline", deadline},
                             {"X-Envelope", "dest=7"},
                             {"Idempotency-Key", "k-" + id}};
    return PostRaw("/" + class_name, headers, body);
  }
  // Submits a request with any path and headers to the platform's server.
  ClientRequest& PostRaw(const std::string& path, const Headers& headers, const std::string& body) {
    client_requests.push_back(std::make_unique<ClientRequest>(loop, dispatcher->port(), path, headers, body));
    return *client_requests.back();
  }
  // Submits a request to the CloudEvents server.
  ClientRequest& PostEvent(const Headers& headers, const std::string& body) {
    client_requests.push_back(
        std::make_unique<ClientRequest>(loop, dispatcher->cloudevents_port(), "/", headers, body));
    return *client_requests.back();
  }
  // Runs the loop until the request has its response, and returns the status of that; 0 if the connection has
  // failed.
  int AwaitStatus(ClientRequest& request) {
    RunUntil(loop, [&] { return request.status_code >= 0; });
    return request.status_code;
  }
  // Returns how many calls all endpoints have received.
  std::size_t CountCalls() const {
    std::size_t count = 0;
    for (const auto& endpoint : endpoints) count += endpoint->calls.size();
    return count;
  }
  // Returns how many calls all endpoints have received of the message `id`.
  std::size_t CountCallsOf(const std::string& id) const {
    std::size_t count = 0;
    for (const auto& endpoint : endpoints) {
      for (const ReceivedCall& call : endpoint->calls) count += call.id == id ? 1 : 0;
    }
    return count;
  }

  EventLoop loop;
  Logger log;
  TemporaryFolder folder;
  int max_concurrent_calls;
  int max_pending_messages;
  int sockets = 256;   // the limit of descriptors for sockets
  double disk_mb = 3;  // the disk budget in MB
  loadtest::Agent agent{loop};
  std::vector<std::unique_ptr<StubEndpoint>> endpoints;
  std::vector<std::uint16_t> ports;  // of the endpoints, as the endpoint list gives them
  std::unique_ptr<HttpServer> sink;  // receives result events; null if there is none
  std::vector<std::unique_ptr<ClientRequest>> client_requests;  // all that the Post functions have sent
  std::unique_ptr<Dispatcher> dispatcher;
  std::optional<DeadLetterSettings> dead_letters;
  JournalFileSettings journal;
  bool admin = false;                 // whether there is an admin server
  bool one_destination_each = false;  // whether each endpoint has a destination of its own, from 7 on
  int repeat_window_ms = 10000;       // the deduplication window of the class "pedido"
  double rate = 50;                   // calls a second, which the endpoint list gives for each endpoint
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_WORLD_H_
