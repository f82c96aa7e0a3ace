// The operators' door and the drain, with real sockets.
#include "../app/world.h"

namespace sagetally {
namespace {

struct Operated : World {
  Operated() {
    sockets = 128;
    admin = true;
  }
  // The whole answer to one call.
  std::string Ask(const std::string& line) {
    RawClient client(loop, dispatcher->admin_port(), line);
    Until(loop, [&] { return client.closed; });
    return client.got;
  }
  int Health() {
    sagetally::Ask ask(loop, dispatcher->port(), "/healthz", {}, "", EVHTTP_REQ_GET);
    return Code(ask);
  }
  std::uint64_t Figure(const std::string& name) {
    const std::string all = Ask("METRICS\n");
    assert(all.ends_with("\nend\n"));
    const std::size_t at = all.find("balancer." + name + ":");
    assert(at != all.npos);
    return std::stoull(all.substr(at + 10 + name.size()));
  }
};

std::string Message(const std::string& id) {
  return "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
         "\r\nX-Class: aviso\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 4\r\n\r\n";
}

// Guards against a door that many can hold shut: with half a line, or by all the clients' descriptors.
void TheDoorAnswersBesideAnyCrowd() {
  Operated w;
  w.Start();
  std::vector<std::unique_ptr<RawClient>> crowd, clients;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(std::make_unique<RawClient>(w.loop, w.dispatcher->admin_port(), i % 2 ? "STAT" : ""));
    clients.push_back(std::make_unique<RawClient>(w.loop, w.dispatcher->port(), "POST /av"));
  }
  const auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < 20; ++i) assert(w.Ask("STATUS\n") == "done ready\n");
  assert(std::chrono::steady_clock::now() - begun < 20 * 1s);
  std::size_t open = 0;
  for (const auto& client : crowd) open += client->closed ? 0 : 1;
  assert(open <=
         ShareDescriptors(ParseConfig(w.ConfigText(), [](const char*) { return nullptr; }), false).admin);
  for (const char* noise : {"status\n", "\n", "STATUS\nSTATUS\n", "\xff\xff\n", "PAUSE \n"}) {
    assert(w.Ask(noise).starts_with("error "));
  }
  assert(w.Ask(std::string(4000, 'x')).starts_with("error "));
  assert(w.Health() == 200);  // nothing of this was a pause
  // In pieces, and by one who leaves.
  RawClient pieces(w.loop, w.dispatcher->admin_port(), "STA");
  Until(w.loop, [&] { return crowd.back()->closed || true; });
  pieces.Write("TUS\r");
  assert(w.Ask("STATUS\n") == "done ready\n");
  pieces.Write("\n");
  Until(w.loop, [&] { return pieces.closed; });
  assert(pieces.got == "done ready\n");
  { const RawClient leaves(w.loop, w.dispatcher->admin_port(), "METRICS\n"); }
  assert(w.Ask("STATUS\n") == "done ready\n");
}

void APausedNodeIsLeftByItsClientsAndComesBack() {
  Operated w;
  w.endpoints[0]->otherwise = 0;
  w.Start();
  RawClient idle(w.loop, w.dispatcher->port(), "GET /healthz HTTP/1.1\r\n\r\n");
  RawClient half(w.loop, w.dispatcher->port(), Message("half") + "12");
  RawClient asking(w.loop, w.dispatcher->port(), "GET /healthz HTTP/1.1\r\n\r\n");
  Until(w.loop, [&] { return !idle.got.empty() && !asking.got.empty(); });
  assert(w.Code(w.Post("aviso", "before")) == 202);
  Until(w.loop, [&] { return w.Calls() == 1; });
  const auto begun = std::chrono::steady_clock::now();
  const auto since = [&] { return std::chrono::steady_clock::now() - begun; };
  assert(w.Ask("PAUSE\n") == "done draining\n");
  assert(w.Health() == 503 && w.Ask("STATUS\n") == "error draining\n");
  // What is on its way, or comes on an open connection, is taken on, and its answer is the last one there.
  asking.got.clear();
  asking.Write(Message("open") + "1234");
  Until(w.loop, [&] { return asking.closed; });
  assert(asking.got.find(" 202 ") != std::string::npos &&
         asking.got.find("Connection: close") != std::string::npos);
  assert(w.Ask("PAUSE\n") == "done draining\n");
  Until(w.loop, [&] { return idle.closed; });
  assert(since() >= Readiness::kIdleCloseDelay && !half.closed);
  half.Write("34");
  Until(w.loop, [&] { return half.closed; });
  assert(half.got.find(" 202 ") != std::string::npos);
  // A client that ignores all that is refused in the end, and told when to come back.
  Until(w.loop, [&] { return since() > Readiness::kAcceptDuration + 200ms; });
  Ask& late = w.Post("aviso", "late");
  assert(w.Code(late) == 503 && HeaderOf(late.headers, "Retry-After") == "1.000");
  // What is held goes on: nothing was refused because of the drain.
  assert(w.Figure("in_progress") == 3 && w.Figure("dropped.aviso") == 1);
  w.endpoints[0]->Release();
  Until(w.loop, [&] { return w.CallsOf("open") == 1 && w.CallsOf("half") == 1; });
  Until(w.loop, [&] { return w.Ask("STATUS\n") == "error drained\n"; });
  assert(w.Figure("passed.aviso") == 3 && w.Figure("upstream_tries") == 3);
  assert(w.Ask("RESUME\n") == "done ready\n" && w.Health() == 200 && w.Ask("RESUME\n") == "done ready\n");
  assert(w.Code(w.Post("aviso", "after")) == 202);
  RawClient kept(w.loop, w.dispatcher->port(), "GET /healthz HTTP/1.1\r\n\r\n");
  Until(w.loop, [&] { return !kept.got.empty(); });
  assert(kept.got.find("Connection: close") == std::string::npos);
  // A drain that is taken back before its idle connections are closed closes none.
  w.Ask("PAUSE\n");
  w.Ask("RESUME\n");
  const auto resumed = std::chrono::steady_clock::now();
  Until(w.loop,
        [&] { return std::chrono::steady_clock::now() - resumed > Readiness::kIdleCloseDelay + 200ms; });
  assert(!kept.closed);
}

// A process that is told to end while drained ends cleanly; the next one serves: it was not told to pause.
void TheNextProcessServes() {
  Operated w;
  w.endpoints[0]->otherwise = 0;
  w.Start();
  assert(w.Code(w.Post("aviso", "held")) == 202);
  Until(w.loop, [&] { return w.Calls() == 1; });
  w.Ask("PAUSE\n");
  w.Kill();
  w.Start();
  assert(w.Ask("STATUS\n") == "done ready\n" && w.Figure("in_progress") == 1);
  w.Ask("PAUSE\n");
  w.dispatcher->Shutdown();
  assert(w.Ask("STATUS\n") == "error stopping\n" && w.Ask("RESUME\n") == "error stopping\n");
  assert(w.Health() == 503);
}

void FiguresAreTrueThroughEveryEnd() {
  Operated w;
  w.most_held = 4;
  w.endpoints[0]->script = {200, 500, 200, -1};
  w.endpoints[0]->otherwise = 200;
  w.Start();
  assert(w.Figure("known_endpoints") == 1 && w.Figure("skipped_endpoints") == 0);
  assert(w.Code(w.Post("aviso", "a")) == 202);
  Until(w.loop, [&] { return w.Figure("passed.aviso") == 1; });
  assert(w.Code(w.Post("aviso", "b")) == 202);  // 500, then delivered
  Until(w.loop, [&] { return w.Figure("passed.aviso") == 2; });
  assert(w.Code(w.Post("pagamento", "c")) == 202);  // broken: may have run
  Until(w.loop, [&] { return w.Figure("bad_gateway.pagamento") == 1; });
  assert(w.Figure("upstream_tries") == 4 && w.Figure("in_progress") == 0);
  w.endpoints[0]->otherwise = 0;
  int refused = 0;
  for (int i = 0; i < 8; ++i) refused += w.Code(w.Post("pedido", "p" + std::to_string(i))) == 429 ? 1 : 0;
  assert(refused > 0 && w.Figure("dropped.pedido") == static_cast<std::uint64_t>(refused));
  assert(w.Figure("in_progress") + w.Figure("dropped.pedido") == 8);
  const std::uint64_t written = w.Figure("upstream_tries");
  assert(written == w.Calls());
  w.Post("nothing", "x");  // malformed: no count of any class
  assert(w.Code(*w.asks.back()) == 400 && w.Figure("dropped.pedido") == static_cast<std::uint64_t>(refused));
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  TheDoorAnswersBesideAnyCrowd();
  APausedNodeIsLeftByItsClientsAndComesBack();
  TheNextProcessServes();
  FiguresAreTrueThroughEveryEnd();
  std::puts("4 passed, 0 failed");
}
