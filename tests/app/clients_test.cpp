// Clients that send malformed or incomplete requests, or nothing: each gets an error or its connection is
// closed, none of its messages is accepted, and well-behaved clients are served meanwhile.
#include <sys/resource.h>

#include <algorithm>

#include "world.h"

namespace sagetally {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr bool kTimesAreMeaningful = false;
#else
constexpr bool kTimesAreMeaningful = true;
#endif

// The head of a message with the headers and body of `rest`.
std::string Message(const std::string& id, const std::string& rest, const std::string& path = "/aviso") {
  return "POST " + path + " HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
         "\r\nX-Class: aviso\r\nX-Deadline: 900m\r\nX-Envelope: dest=7\r\n" + rest;
}

// Guards against request smuggling: where two readers see the end of a request in different places, no
// request behind it is accepted.
void MalformedRequestsAreRejectedAndNothingSmuggledBehindIsSent() {
  World w;
  w.Start();
  const std::string hidden = Message("hidden", "Content-Length: 0\r\n\r\n");
  const std::string malformed_requests[] = {
      "nonsense\r\n\r\n",
      "GET\r\n\r\n",
      std::string("\0\xff\x80 /aviso HTTP/1.1\r\n\r\n", 23),
      Message("a", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden),
      Message("a", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden),
      Message("a", "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden),
      Message("a", "Transfer-Encoding: xchunked\r\n\r\n" + hidden),
      Message("a", "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden),
      Message("a", "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + hidden),
      Message("a", "Content-Length: 0, 0\r\n\r\n" + hidden),
      Message("a", "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden),
      Message("a", "Content-Length: -1\r\n\r\n" + hidden),
      Message("a", "Content-Length: +0\r\n\r\n" + hidden),
      Message("a", "Content-Length: 0x0\r\n\r\n" + hidden),
      Message("a", "Content-Length: 99999999999999999999999\r\n\r\n"),
      Message("a", "Content-Length: 65537\r\n\r\n" + std::string(65537, 'x')),
      Message("a", "Content-Length: 60000000\r\n\r\n" + std::string(300000, 'x')),
      Message("a", "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n" + std::string(300000, 'x')),
      Message("a", "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(300000, 'x')),
      Message("a", "X-Endless: " + std::string(300000, 'x')),
      "POST /" + std::string(300000, 'x'),
      Message("a", "Content-Length: 0\r\n\r\n", "/pedido"),   // two classes
      Message("a", "Content-Length: 0\r\n\r\n", "/nothing"),  // one class and nonsense
      "POST /aviso HTTP/1.1\r\nX-Request-Id: a\r\nX-Deadline: 900m\r\nX-Envelope: dest=8\r\n"
      "Content-Length: 0\r\n\r\n"};  // a destination that no list has named
  for (const std::string& text : malformed_requests) {
    RawClient bad(w.loop, w.dispatcher->port(), text);
    RunUntil(w.loop, [&] { return bad.failed(); });
    assert(bad.received.find(" 202 ") == std::string::npos);
  }
  assert(w.AwaitStatus(w.Post("aviso", "good")) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() > 0; });
  assert(w.CountCalls() == 1 && w.CountCallsOf("good") == 1);
}

// Guards against clients that never complete a request: their connections are closed within a fixed time.
void IncompleteAndIdleConnectionsAreClosedInTime() {
  World w;
  w.Start();
  RawClient half(w.loop, w.dispatcher->port(), "POST /aviso HT");
  RawClient body(w.loop, w.dispatcher->port(), Message("a", "Content-Length: 10\r\n\r\n12345"));
  RawClient unused(w.loop, w.dispatcher->port(), "");
  RawClient idle(w.loop, w.dispatcher->port(), "GET /healthz HTTP/1.1\r\n\r\n");
  const auto start = std::chrono::steady_clock::now();
  RunUntil(w.loop, [&] { return half.failed() && body.failed() && unused.failed(); });
  assert(std::chrono::steady_clock::now() - start < 3s);
  RunUntil(w.loop, [&] { return idle.closed; });  // an idle connection is closed in the end
  assert(idle.received.starts_with("HTTP/1.1 200") && std::chrono::steady_clock::now() - start > 2s);
}

// Guards the descriptors: unused and idle connections are closed when clients with requests need them.
void UnusedAndIdleConnectionsAreClosedForClientsWithRequests() {
  World w;
  w.sockets = 96;
  w.Start();
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 100; ++i) {
    crowd.push_back(std::make_unique<RawClient>(w.loop, w.dispatcher->port(),
                                                i % 2 == 0 ? "" : "GET /healthz HTTP/1.1\r\n\r\n"));
  }
  for (int i = 0; i < 20; ++i) assert(w.AwaitStatus(w.Post("aviso", "a" + std::to_string(i))) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 20; });
  std::size_t open = 0;
  for (const auto& client : crowd) open += client->closed ? 0 : 1;
  assert(open <= 96 / 3);
}

// Half of the platform's smallest limits, and thousands of connections that send nothing or stop half-way:
// messages on new connections are accepted, and so is one that comes byte by byte for more than two seconds.
void SlowRequestIsAcceptedBesideThousandsOfIncompleteOnes() {
  World w;
  w.sockets = 128;
  w.Start();
  const std::string slow_text = Message("slow", "Content-Length: 4\r\n\r\nslow");
  RawClient slow(w.loop, w.dispatcher->port(), slow_text.substr(0, 1));
  std::deque<std::unique_ptr<RawClient>> crowd;
  const auto started_at = std::chrono::steady_clock::now();
  std::size_t written = 1;
  int connections = 0;
  int messages = 0;
  while (written < slow_text.size() || connections < 1200) {
    // A message, and a crowd behind it: as long as fewer connections come between two bytes of the slow one
    // than the table has places, the slow one is not the longest silent.
    ClientRequest& ask = w.Post("aviso", "m" + std::to_string(messages++));
    for (int i = 0; i < 6; ++i, ++connections) {
      crowd.push_back(std::make_unique<RawClient>(
          w.loop, w.dispatcher->port(),
          connections % 8 == 0 ? "" : Message("half", "Content-Length: 9\r\n\r\nhalf")));
      if (crowd.size() > 400) crowd.pop_front();
    }
    assert(w.AwaitStatus(ask) == 202);
    RunFor(w.loop, 15ms);
    const std::size_t due = slow_text.size() * (std::chrono::steady_clock::now() - started_at) / 2100ms;
    if (written < std::min(due, slow_text.size())) {
      slow.Write(slow_text.substr(written, due - written));
      written = due;
    }
  }
  RunUntil(w.loop, [&] { return slow.received.find(" 202 ") != std::string::npos || slow.closed; });
  assert(slow.received.find(" 202 ") != std::string::npos && w.dispatcher->client_connections() <= 128 / 3);
  RunUntil(w.loop, [&] {
    return w.CountCallsOf("slow") == 1 && w.CountCalls() == static_cast<std::size_t>(messages) + 1;
  });
}

// Thousands of connections at once, at half of each of the platform's limits: a message on a new connection
// is answered before a client times out, an operator's request within a second, and no limit on descriptors
// is exceeded.
void ConnectionBurstIsShedAtAnySocketLimit() {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
  const int crowds = std::min<int>(2500, static_cast<int>(std::min<rlim_t>(descriptors.rlim_cur, 8192)) / 3);
  for (const int sockets : {96, 128, 192, 512}) {
    World w;
    w.sockets = sockets;
    w.admin = true;
    w.Start();
    const std::string texts[] = {"", "POST /aviso HTTP/1.1\r\nX-Req",
                                 Message("half", "Content-Length: 9\r\n\r\nhalf")};
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (int i = 0; i < crowds; ++i) {
      crowd.push_back(std::make_unique<RawClient>(w.loop, w.dispatcher->port(), texts[i % 3]));
    }
    for (int i = 0; i < 10; ++i) {
      const auto started_at = std::chrono::steady_clock::now();
      ClientRequest& ask = w.Post("aviso", "m" + std::to_string(i));
      RawClient operator_client(w.loop, w.dispatcher->admin_port(), "STATUS\n");
      assert(w.AwaitStatus(ask) == 202);
      RunUntil(w.loop, [&] { return operator_client.closed; });
      assert(operator_client.received == "done ready\n");
      // The crowd's own end, and its accepts, come first in this one thread.
      if (i > 0 && kTimesAreMeaningful) assert(std::chrono::steady_clock::now() - started_at < 400ms);
      assert(w.dispatcher->client_connections() <= static_cast<std::size_t>(sockets) / 3);
    }
    RunUntil(w.loop, [&] { return w.CountCalls() == 10; });
    // Each of the crowd soon gets an error, or its connection is closed.
    const auto started_at = std::chrono::steady_clock::now();
    RunUntil(w.loop, [&] { return std::ranges::all_of(crowd, [](const auto& c) { return c->failed(); }); });
    assert(std::chrono::steady_clock::now() - started_at < 3s);
  }
}

void PipelinedRequestsAreAnsweredInOrder() {
  World w;
  w.Start();
  std::string all;
  for (int i = 0; i < 200; ++i) all += "GET /healthz HTTP/1.1\r\n\r\n";
  all += Message("m", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
  RawClient client(w.loop, w.dispatcher->port(), all);
  RunUntil(w.loop, [&] { return client.received.ends_with("100 Continue\r\n\r\n"); });
  client.Write("2\r\nhi\r\n0\r\n\r\n");
  RunUntil(w.loop, [&] { return client.received.find(" 202 ") != std::string::npos && w.CountCalls() == 1; });
  assert(w.endpoints[0]->calls[0].body == "hi");
  std::size_t answers = 0;
  for (std::size_t at = 0; (at = client.received.find(" 200 ", at)) != std::string::npos; ++at) ++answers;
  assert(answers == 200);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  MalformedRequestsAreRejectedAndNothingSmuggledBehindIsSent();
  IncompleteAndIdleConnectionsAreClosedInTime();
  UnusedAndIdleConnectionsAreClosedForClientsWithRequests();
  SlowRequestIsAcceptedBesideThousandsOfIncompleteOnes();
  ConnectionBurstIsShedAtAnySocketLimit();
  PipelinedRequestsAreAnsweredInOrder();
  std::puts("6 passed, 0 failed");
}
