// Tests with endpoints whose responses are malformed, truncated, or followed by bytes that belong to no
// response.
#include "raw_server.h"
#include "world.h"

namespace sagetally {
namespace {

// Answers each call with the next text of `script`. The last text is used for all further calls.
class RawEndpoint : public RawServer {
 public:
  using RawServer::RawServer;
  // Answers the call with the index `call` in `calls`.
  void Answer(std::size_t call) {
    const std::string text = script.front();
    if (script.size() > 1) script.pop_front();
    Write(calls.at(call).connection, text);
  }

  struct ReceivedCall {
    std::string id;
    bufferevent* connection;
  };
  bool answers_at_once = true;  // if false, the test calls Answer()
  int closed_connections = 0;   // by the dispatcher
  std::deque<std::string> script;
  std::vector<ReceivedCall> calls;

 private:
  void OnText(bufferevent* connection, const std::string& text) override {
    calls.push_back({RequestId(text), connection});
    if (answers_at_once) Answer(calls.size() - 1);
  }
  void OnClosed(bufferevent*) override { ++closed_connections; }
};

const char kOkResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A world whose only endpoint is a RawEndpoint.
struct RawEndpointWorld : World {
  RawEndpointWorld() : World(1) {
    ports[0] = raw_endpoint.port;
    raw_endpoint.script = {kOkResponse};
    Start();
  }
  std::size_t CountRawCallsOf(const std::string& id) const {
    std::size_t count = 0;
    for (const RawEndpoint::ReceivedCall& call : raw_endpoint.calls) count += call.id == id ? 1 : 0;
    return count;
  }
  RawEndpoint raw_endpoint{loop};
};

// A response whose status line says 200 counts as a delivery, whatever follows. After any other malformed
// response the call may have run, so a message that is not idempotent must not be retried. The connection
// must not be reused.
void MalformedResponseIsJudgedByItsStatusLine() {
  const std::string long_text(400000, 'x');
  const std::pair<std::string, bool> cases[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + long_text, true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", true},
      {"HTTP/1.1 200 OK\r\n\x01\x02\xff\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nX-Endless: " + long_text, true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort", true},
      {"HTTP/1.1 500 Oops\r\nContent-Length: 3000000000\r\n\r\n" + long_text, false},
      {"HTTP/1.1 503 Full\r\nContent-Length: -1\r\n\r\n", false},
      {"HTTP/1.1 2000 OK\r\n\r\n", false},
      {"\xde\xad\xbe\xef 200 not at all HTTP \xff\xff\r\n\r\n", false},
      {"HTTP/1.1 429 Wait\r\nX-Endless: " + long_text, false},
      {"HTTP/1.1 429 Wai", false}};
  int case_number = 0;
  for (const auto& [text, delivered] : cases) {
    RawEndpointWorld world;
    world.raw_endpoint.script = {text, kOkResponse};
    const std::string id = "p" + std::to_string(case_number++);
    assert(world.AwaitStatus(world.Post("pagamento", id)) == 202);
    RunUntil(world.loop, [&] { return world.raw_endpoint.closed_connections == 1; });
    if (!delivered) {
      RunUntil(world.loop,
               [&] { return world.agent.HasNotice("\"" + id + "\",\"status\":\"undeliverable\""); });
    }
    assert(world.AwaitStatus(world.Post("aviso", "next")) == 202);
    RunUntil(world.loop, [&] { return world.CountRawCallsOf("next") == 1; });
    assert(world.CountRawCallsOf(id) == 1 &&
           world.raw_endpoint.calls[0].connection != world.raw_endpoint.calls[1].connection);
    assert(world.agent.notices.empty() == delivered);
  }
}

void InterimResponsesAreSkipped() {
  RawEndpointWorld world;
  world.raw_endpoint.script = {
      std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Load: x1=1\r\n\r\n"
                  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n") +
          "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
      std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + kOkResponse};
  assert(world.AwaitStatus(world.Post("aviso", "a")) == 202);
  // The 500 is the response, so the message must be retried.
  RunUntil(world.loop, [&] { return world.CountRawCallsOf("a") == 2; });
  assert(world.AwaitStatus(world.Post("aviso", "b")) == 202);
  RunUntil(world.loop, [&] { return world.CountRawCallsOf("b") == 1; });
  assert(world.CountRawCallsOf("a") == 2 && world.raw_endpoint.closed_connections == 0);
}

// Guards against the copy of a response being read as the response to the next call.
void BytesAfterAResponseAreNotReadAsTheNextResponse() {
  RawEndpointWorld world;
  world.raw_endpoint.script = {std::string(kOkResponse) + kOkResponse,
                               "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", kOkResponse};
  assert(world.AwaitStatus(world.Post("aviso", "a")) == 202);
  RunUntil(world.loop, [&] { return world.raw_endpoint.closed_connections == 1; });
  assert(world.AwaitStatus(world.Post("aviso", "b")) == 202);
  // The first call of this message must get the 500 and not the copy, so the message must be retried.
  RunUntil(world.loop, [&] { return world.CountRawCallsOf("b") == 2; });
  assert(world.CountRawCallsOf("a") == 1);
}

// Guards against reuse of a connection that leads to an endpoint's former address, and against endpoints that
// are never removed.
void ConnectionToAFormerAddressIsClosedAfterItsCall() {
  RawEndpointWorld world;
  RawEndpoint new_endpoint(world.loop);
  new_endpoint.script = {kOkResponse};
  world.raw_endpoint.answers_at_once = false;
  assert(world.AwaitStatus(world.Post("aviso", "a")) == 202);
  RunUntil(world.loop, [&] { return world.CountRawCallsOf("a") == 1 && world.agent.watch != nullptr; });
  world.ports[0] = new_endpoint.port;
  world.agent.SendWatchLine("{\"rev\":42,\"all\":false,\"targets\":[" + world.Entry(0) + "]}");
  assert(world.AwaitStatus(world.Post("aviso", "b")) == 202);
  RunUntil(world.loop, [&] { return new_endpoint.calls.size() == 1; });
  world.raw_endpoint.Answer(0);
  RunUntil(world.loop, [&] { return world.raw_endpoint.closed_connections == 1; });
  assert(world.AwaitStatus(world.Post("aviso", "c")) == 202);
  RunUntil(world.loop, [&] { return new_endpoint.calls.size() == 2; });
  assert(world.raw_endpoint.calls.size() == 1);
}

// Guards against idle connections that use up all descriptors. One of them must be closed when a new
// connection is needed.
void IdleConnectionIsClosedForANewOneAtTheLimit() {
  EventLoop loop;
  std::vector<std::uint64_t> outcomes;
  EndpointPool pool(loop, {1s, 15s, 8, 2}, [&](const CallResult& result) {
    assert(result.outcome == Outcome::kOk);
    outcomes.push_back(result.message_number);
  });
  std::vector<std::unique_ptr<RawEndpoint>> endpoints;
  Request request;
  request.id = "a";
  for (std::uint64_t i = 1; i <= 5; ++i) {
    endpoints.push_back(std::make_unique<RawEndpoint>(loop));
    endpoints.back()->script = {kOkResponse};
    EndpointUpdate update;
    update.record.endpoint = "s-" + std::to_string(i);
    update.address = At(endpoints.back()->port);
    pool.UpdateEndpoint(update);
    pool.StartCall({i, &request, update.record.endpoint, 5s});
    RunUntil(loop, [&] { return outcomes.size() == i; });
  }
  assert(endpoints[0]->closed_connections + endpoints[1]->closed_connections +
             endpoints[2]->closed_connections ==
         3);
  for (int i = 1; i <= 5; ++i) pool.RemoveEndpoint("s-" + std::to_string(i));
  assert(pool.endpoint_count() == 0);
}

// An endpoint pool with one RawEndpoint, without a dispatcher.
struct RawEndpointPool {
  RawEndpointPool() {
    EndpointUpdate update;
    update.record.endpoint = "s";
    update.address = At(raw_endpoint.port);
    pool.UpdateEndpoint(update);
    request.id = "a";
  }
  void StartCall(std::uint64_t number) { pool.StartCall({number, &request, "s", 5s}); }
  EventLoop loop;
  std::map<std::uint64_t, Outcome> outcomes;
  EndpointPool pool{loop, {1s, 15s, 8, 8}, [this](const CallResult& result) {
                      outcomes[result.message_number] = result.outcome;
                    }};
  RawEndpoint raw_endpoint{loop};
  Request request;
};

// An endpoint with a limited number of connections answers 503 to each request on a connection beyond its
// limit. So a connection on which every response was a 503 must not be reused, because all its calls might
// be rejected.
void ConnectionWithOnlyRejectionsIsNotReused() {
  const char unavailable[] = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  const char too_many_requests[] = "HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 5\r\nContent-Length: 0\r\n\r\n";
  const std::tuple<const char*, const char*, int> cases[] = {{unavailable, kOkResponse, 1},
                                                             {too_many_requests, kOkResponse, 0},
                                                             {kOkResponse, unavailable, 0},
                                                             {too_many_requests, unavailable, 0},
                                                             {unavailable, unavailable, 2}};
  for (const auto& [first, second, closed] : cases) {
    RawEndpointPool fixture;
    fixture.raw_endpoint.script = {first, second, kOkResponse};
    for (std::uint64_t i = 1; i <= 3; ++i) {
      fixture.StartCall(i);
      RunUntil(fixture.loop, [&] { return fixture.outcomes.contains(i); });
      RunFor(fixture.loop, 2 * kSettlingTime);  // before that, no connection is used again
    }
    RunUntil(fixture.loop, [&, n = closed] { return fixture.raw_endpoint.closed_connections == n; });
    assert((fixture.raw_endpoint.calls[0].connection != fixture.raw_endpoint.calls[1].connection) ==
           (closed > 0));
    assert((fixture.raw_endpoint.calls[1].connection != fixture.raw_endpoint.calls[2].connection) ==
           (closed > 1));
  }
}

// A call whose connection is not established yet must not be sent after it is cancelled. A call that has been
// written must complete with its response.
void CancelIfUnsentStopsUnwrittenCallOnly() {
  RawEndpointPool fixture;
  fixture.raw_endpoint.script = {kOkResponse};
  fixture.raw_endpoint.answers_at_once = false;
  fixture.StartCall(1);
  fixture.pool.CancelCallIfUnsent(1);  // is still connecting
  fixture.pool.CancelCallIfUnsent(7);  // does not exist
  RunUntil(fixture.loop, [&] { return fixture.outcomes.contains(1); });
  assert(fixture.outcomes[1] == Outcome::kNotSent && fixture.raw_endpoint.calls.empty());
  fixture.StartCall(2);
  RunUntil(fixture.loop, [&] { return fixture.raw_endpoint.calls.size() == 1; });
  fixture.pool.CancelCallIfUnsent(2);
  fixture.raw_endpoint.Answer(0);
  RunUntil(fixture.loop, [&] { return fixture.outcomes.contains(2); });
  assert(fixture.outcomes[2] == Outcome::kOk && fixture.raw_endpoint.calls.size() == 1);
}

// Guards against truncated responses that occupy slots. The delivery must count, and the call must free its
// slot soon.
void TruncatedResponseFreesItsSlotSoon() {
  RawEndpointWorld world;
  world.raw_endpoint.script = {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"};
  assert(world.AwaitStatus(world.Post("aviso", "short")) == 202);
  RunUntil(world.loop, [&] { return world.raw_endpoint.calls.size() == 1; });
  const auto started_at = std::chrono::steady_clock::now();
  RunUntil(world.loop, [&] { return world.raw_endpoint.closed_connections == 1; });
  assert(std::chrono::steady_clock::now() - started_at < 800ms);  // a malformed response may take a second
  world.raw_endpoint.script = {kOkResponse};
  assert(world.AwaitStatus(world.Post("aviso", "next")) == 202);
  RunUntil(world.loop, [&] { return world.CountRawCallsOf("next") == 1; });
  assert(world.CountRawCallsOf("short") == 1);
}

// Guards against a silent connection that occupies a slot for which other messages wait. When later calls
// have been answered, the silent call counts as lost, and its message must be retried within a third of its
// timeout.
void SilentCallIsRetriedAfterLaterCallsWereAnswered() {
  World world(1, 2);
  world.endpoints[0]->script = {0};
  world.Start();
  const auto started_at = std::chrono::steady_clock::now();
  ClientRequest& silent = world.Post("aviso", "silent");
  RunUntil(world.loop, [&] { return world.CountCallsOf("silent") == 1; });
  for (int i = 0; i < 20; ++i) world.Post("aviso", "m" + std::to_string(i));
  RunUntil(world.loop, [&] { return world.CountCallsOf("silent") == 2 && world.CountCalls() == 22; });
  assert(std::chrono::steady_clock::now() - started_at < 800ms && world.AwaitStatus(silent) == 202);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  MalformedResponseIsJudgedByItsStatusLine();
  InterimResponsesAreSkipped();
  BytesAfterAResponseAreNotReadAsTheNextResponse();
  ConnectionToAFormerAddressIsClosedAfterItsCall();
  IdleConnectionIsClosedForANewOneAtTheLimit();
  ConnectionWithOnlyRejectionsIsNotReused();
  CancelIfUnsentStopsUnwrittenCallOnly();
  TruncatedResponseFreesItsSlotSoon();
  SilentCallIsRetriedAfterLaterCallsWereAnswered();
  std::puts("9 passed, 0 failed");
}
