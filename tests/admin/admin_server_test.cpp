// Tests the admin server, drains and metrics of a complete dispatcher on real sockets.
#include "../app/world.h"

namespace sagetally {
namespace {

// A dispatcher with an admin server.
struct AdminWorld : World {
  AdminWorld() {
    sockets = 128;
    admin = true;
  }
  // Sends one request line and returns the whole response.
  std::string SendAdminLine(const std::string& line) {
    RawClient client(loop, dispatcher->admin_port(), line);
    RunUntil(loop, [&] { return client.closed; });
    return client.received;
  }
  int HealthStatus() {
    sagetally::ClientRequest request(loop, dispatcher->port(), "/healthz", {}, "", EVHTTP_REQ_GET);
    return AwaitStatus(request);
  }
  std::uint64_t Metric(const std::string& name) {
    const std::string metrics = SendAdminLine("METRICS\n");
    assert(metrics.ends_with("\nend\n"));
    const std::string prefix = "balancer." + name + ":";
    const std::size_t line = metrics.find(prefix);
    assert(line != std::string::npos);
    return std::stoull(metrics.substr(line + prefix.size()));
  }
};

// Returns the request line and headers of a platform request whose body has four bytes.
std::string RequestHead(const std::string& id) {
  return "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
         "\r\nX-Class: aviso\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 4\r\n\r\n";
}

// Guards against callers that make the admin server unavailable, either by incomplete request lines or by
// using up all descriptors for client connections.
void AdminServerAnswersWhileOthersHoldConnections() {
  AdminWorld w;
  w.Start();
  std::vector<std::unique_ptr<RawClient>> admin_clients;
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 60; ++i) {
    admin_clients.push_back(
        std::make_unique<RawClient>(w.loop, w.dispatcher->admin_port(), i % 2 ? "STAT" : ""));
    clients.push_back(std::make_unique<RawClient>(w.loop, w.dispatcher->port(), "POST /av"));
  }
  const auto started_at = std::chrono::steady_clock::now();
  for (int i = 0; i < 20; ++i) assert(w.SendAdminLine("STATUS\n") == "done ready\n");
  assert(std::chrono::steady_clock::now() - started_at < 20 * 1s);
  std::size_t open = 0;
  for (const auto& client : admin_clients) open += client->closed ? 0 : 1;
  assert(open <= DivideDescriptors(ParseConfig(w.ConfigText(), [](const char*) { return nullptr; }), false)
                     .admin_connections);
  for (const char* malformed : {"status\n", "\n", "STATUS\nSTATUS\n", "\xff\xff\n", "PAUSE \n"}) {
    assert(w.SendAdminLine(malformed).starts_with("error "));
  }
  assert(w.SendAdminLine(std::string(4000, 'x')).starts_with("error "));
  assert(w.HealthStatus() == 200);  // no malformed line was executed as PAUSE
  // A request line may arrive in pieces, and a client may disconnect before its response.
  RawClient pieces(w.loop, w.dispatcher->admin_port(), "STA");
  RunUntil(w.loop, [&] { return admin_clients.back()->closed || true; });
  pieces.Write("TUS\r");
  assert(w.SendAdminLine("STATUS\n") == "done ready\n");
  pieces.Write("\n");
  RunUntil(w.loop, [&] { return pieces.closed; });
  assert(pieces.received == "done ready\n");
  { const RawClient disconnecting(w.loop, w.dispatcher->admin_port(), "METRICS\n"); }
  assert(w.SendAdminLine("STATUS\n") == "done ready\n");
}

void PausedDispatcherDrainsAndResumes() {
  AdminWorld w;
  w.endpoints[0]->default_status = 0;
  w.Start();
  RawClient idle(w.loop, w.dispatcher->port(), "GET /healthz HTTP/1.1\r\n\r\n");
  RawClient incomplete(w.loop, w.dispatcher->port(), RequestHead("half") + "12");
  RawClient active(w.loop, w.dispatcher->port(), "GET /healthz HTTP/1.1\r\n\r\n");
  RunUntil(w.loop, [&] { return !idle.received.empty() && !active.received.empty(); });
  assert(w.AwaitStatus(w.Post("aviso", "before")) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });
  const auto paused_at = std::chrono::steady_clock::now();
  const auto time_since_pause = [&] { return std::chrono::steady_clock::now() - paused_at; };
  assert(w.SendAdminLine("PAUSE\n") == "done draining\n");
  assert(w.HealthStatus() == 503 && w.SendAdminLine("STATUS\n") == "error draining\n");
  // A request on an open connection is still accepted, and its response is the last one on that connection.
  active.received.clear();
  active.Write(RequestHead("open") + "1234");
  RunUntil(w.loop, [&] { return active.closed; });
  assert(active.received.find(" 202 ") != std::string::npos &&
         active.received.find("Connection: close") != std::string::npos);
  assert(w.SendAdminLine("PAUSE\n") == "done draining\n");
  RunUntil(w.loop, [&] { return idle.closed; });
  assert(time_since_pause() >= Readiness::kIdleCloseDelay && !incomplete.closed);
  incomplete.Write("34");
  RunUntil(w.loop, [&] { return incomplete.closed; });
  assert(incomplete.received.find(" 202 ") != std::string::npos);
  // A client that still sends requests after kAcceptDuration is rejected with a Retry-After.
  RunUntil(w.loop, [&] { return time_since_pause() > Readiness::kAcceptDuration + 200ms; });
  ClientRequest& late = w.Post("aviso", "late");
  assert(w.AwaitStatus(late) == 503 && HeaderValue(late.headers, "Retry-After") == "1.000");
  // The pending messages are delivered; the drain rejects none of them.
  assert(w.Metric("in_progress") == 3 && w.Metric("dropped.aviso") == 1);
  w.endpoints[0]->Release();
  RunUntil(w.loop, [&] { return w.CountCallsOf("open") == 1 && w.CountCallsOf("half") == 1; });
  RunUntil(w.loop, [&] { return w.SendAdminLine("STATUS\n") == "error drained\n"; });
  assert(w.Metric("passed.aviso") == 3 && w.Metric("upstream_tries") == 3);
  assert(w.SendAdminLine("RESUME\n") == "done ready\n" && w.HealthStatus() == 200 &&
         w.SendAdminLine("RESUME\n") == "done ready\n");
  assert(w.AwaitStatus(w.Post("aviso", "after")) == 202);
  RawClient keep_alive(w.loop, w.dispatcher->port(), "GET /healthz HTTP/1.1\r\n\r\n");
  RunUntil(w.loop, [&] { return !keep_alive.received.empty(); });
  assert(keep_alive.received.find("Connection: close") == std::string::npos);
  // A drain that is resumed before kIdleCloseDelay is over closes no idle connections.
  w.SendAdminLine("PAUSE\n");
  w.SendAdminLine("RESUME\n");
  const auto resumed_at = std::chrono::steady_clock::now();
  RunUntil(w.loop, [&] {
    return std::chrono::steady_clock::now() - resumed_at > Readiness::kIdleCloseDelay + 200ms;
  });
  assert(!keep_alive.closed);
}

// A pause is not stored, so the next process accepts messages. A paused process shuts down cleanly.
void PauseEndsWithTheProcess() {
  AdminWorld w;
  w.endpoints[0]->default_status = 0;
  w.Start();
  assert(w.AwaitStatus(w.Post("aviso", "held")) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });
  w.SendAdminLine("PAUSE\n");
  w.Kill();
  w.Start();
  assert(w.SendAdminLine("STATUS\n") == "done ready\n" && w.Metric("in_progress") == 1);
  w.SendAdminLine("PAUSE\n");
  w.dispatcher->Shutdown();
  assert(w.SendAdminLine("STATUS\n") == "error stopping\n" &&
         w.SendAdminLine("RESUME\n") == "error stopping\n");
  assert(w.HealthStatus() == 503);
}

void MetricsCountEveryFinalStatus() {
  AdminWorld w;
  w.max_pending_messages = 4;
  w.endpoints[0]->script = {200, 500, 200, -1};
  w.endpoints[0]->default_status = 200;
  w.Start();
  assert(w.Metric("known_endpoints") == 1 && w.Metric("skipped_endpoints") == 0);
  assert(w.AwaitStatus(w.Post("aviso", "a")) == 202);
  RunUntil(w.loop, [&] { return w.Metric("passed.aviso") == 1; });
  // The first attempt of "b" gets status 500, and the second delivers it.
  assert(w.AwaitStatus(w.Post("aviso", "b")) == 202);
  RunUntil(w.loop, [&] { return w.Metric("passed.aviso") == 2; });
  // The connection breaks during the attempt of "c", so it may have run and is not retried.
  assert(w.AwaitStatus(w.Post("pagamento", "c")) == 202);
  RunUntil(w.loop, [&] { return w.Metric("bad_gateway.pagamento") == 1; });
  assert(w.Metric("upstream_tries") == 4 && w.Metric("in_progress") == 0);
  w.endpoints[0]->default_status = 0;
  int rejected = 0;
  for (int i = 0; i < 8; ++i)
    rejected += w.AwaitStatus(w.Post("pedido", "p" + std::to_string(i))) == 429 ? 1 : 0;
  assert(rejected > 0 && w.Metric("dropped.pedido") == static_cast<std::uint64_t>(rejected));
  assert(w.Metric("in_progress") + w.Metric("dropped.pedido") == 8);
  const std::uint64_t written = w.Metric("upstream_tries");
  assert(written == w.CountCalls());
  w.Post("nothing", "x");  // malformed, so it is not counted for any class
  assert(w.AwaitStatus(*w.client_requests.back()) == 400 &&
         w.Metric("dropped.pedido") == static_cast<std::uint64_t>(rejected));
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  AdminServerAnswersWhileOthersHoldConnections();
  PausedDispatcherDrainsAndResumes();
  PauseEndsWithTheProcess();
  MetricsCountEveryFinalStatus();
  std::puts("4 passed, 0 failed");
}
