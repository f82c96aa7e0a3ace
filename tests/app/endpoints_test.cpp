// Endpoints whose responses are malformed, truncated, or followed by bytes that belong to no response.
#include "raw_server.h"
#include "world.h"

namespace sagetally {
namespace {

// Answers each call with the next text of `script`, and with the last one from then on.
class RawEndpoint : public RawServer {
 public:
  using RawServer::RawServer;
  void Answer(std::size_t call) {
    const std::string text = script.front();
    if (script.size() > 1) script.pop_front();
    Write(calls.at(call).connection, text);
  }

  struct ReceivedCall {
    std::string id;
    bufferevent* connection;
  };
  bool answers_by_itself = true;
  int closed_connections = 0;  // by the dispatcher
  std::deque<std::string> script;
  std::vector<ReceivedCall> calls;

 private:
  void OnText(bufferevent* connection, const std::string& text) override {
    calls.push_back({RequestId(text), connection});
    if (answers_by_itself) Answer(calls.size() - 1);
  }
  void OnClosed(bufferevent*) override { ++closed_connections; }
};

const char kGood[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct RawWorld : World {
  RawWorld() : World(1) {
    ports[0] = raw.port;
    raw.script = {kGood};
    Start();
  }
  std::size_t CallsOf(const std::string& id) const {
    std::size_t count = 0;
    for (const RawEndpoint::ReceivedCall& call : raw.calls) count += call.id == id ? 1 : 0;
    return count;
  }
  RawEndpoint raw{loop};
};

// A status line with 200 counts whatever follows. After any other malformed response the call may have been
// executed: a message that is not idempotent is not retried. The connection is not reused.
void MalformedResponsesCountByTheirStatusLine() {
  const std::string big(400000, 'x');
  const std::pair<std::string, bool> table[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + big, true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", true},
      {"HTTP/1.1 200 OK\r\n\x01\x02\xff\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nX-Endless: " + big, true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort", true},
      {"HTTP/1.1 500 Oops\r\nContent-Length: 3000000000\r\n\r\n" + big, false},
      {"HTTP/1.1 503 Full\r\nContent-Length: -1\r\n\r\n", false},
      {"HTTP/1.1 2000 OK\r\n\r\n", false},
      {"\xde\xad\xbe\xef 200 not at all HTTP \xff\xff\r\n\r\n", false},
      {"HTTP/1.1 429 Wait\r\nX-Endless: " + big, false},
      {"HTTP/1.1 429 Wai", false}};
  int n = 0;
  for (const auto& [text, delivered] : table) {
    RawWorld w;
    w.raw.script = {text, kGood};
    const std::string id = "p" + std::to_string(n++);
    assert(w.AwaitStatus(w.Post("pagamento", id)) == 202);
    RunUntil(w.loop, [&] { return w.raw.closed_connections == 1; });
    if (!delivered) {
      RunUntil(w.loop, [&] { return w.agent.HasNotice("\"" + id + "\",\"status\":\"undeliverable\""); });
    }
    assert(w.AwaitStatus(w.Post("aviso", "next")) == 202);
    RunUntil(w.loop, [&] { return w.CallsOf("next") == 1; });
    assert(w.CallsOf(id) == 1 && w.raw.calls[0].connection != w.raw.calls[1].connection);
    assert(w.agent.notices.empty() == delivered);
  }
}

void InterimResponsesAreSkipped() {
  RawWorld w;
  w.raw.script = {std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Load: x1=1\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n") +
                      "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
                  std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + kGood};
  assert(w.AwaitStatus(w.Post("aviso", "a")) == 202);
  RunUntil(w.loop, [&] { return w.CallsOf("a") == 2; });  // the 500 was received
  assert(w.AwaitStatus(w.Post("aviso", "b")) == 202);
  RunUntil(w.loop, [&] { return w.CallsOf("b") == 1; });
  assert(w.CallsOf("a") == 2 && w.raw.closed_connections == 0);
}

// Guards against a copy of one response being read as the response to the next call.
void BytesBehindAResponseAreNotTheNextResponse() {
  RawWorld w;
  w.raw.script = {std::string(kGood) + kGood, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", kGood};
  assert(w.AwaitStatus(w.Post("aviso", "a")) == 202);
  RunUntil(w.loop, [&] { return w.raw.closed_connections == 1; });
  assert(w.AwaitStatus(w.Post("aviso", "b")) == 202);
  RunUntil(w.loop, [&] { return w.CallsOf("b") == 2; });  // its own answer was a 500
  assert(w.CallsOf("a") == 1);
}

// Guards against a connection to an endpoint's former address that is used on, and endpoints that are never
// removed.
void ConnectionToAFormerAddressIsClosedAfterItsCall() {
  RawWorld w;
  RawEndpoint other(w.loop);
  other.script = {kGood};
  w.raw.answers_by_itself = false;
  assert(w.AwaitStatus(w.Post("aviso", "a")) == 202);
  RunUntil(w.loop, [&] { return w.CallsOf("a") == 1 && w.agent.watch != nullptr; });
  w.ports[0] = other.port;
  w.agent.SendWatchLine("{\"rev\":42,\"all\":false,\"targets\":[" + w.Entry(0) + "]}");
  assert(w.AwaitStatus(w.Post("aviso", "b")) == 202);
  RunUntil(w.loop, [&] { return other.calls.size() == 1; });
  w.raw.Answer(0);
  RunUntil(w.loop, [&] { return w.raw.closed_connections == 1; });
  assert(w.AwaitStatus(w.Post("aviso", "c")) == 202);
  RunUntil(w.loop, [&] { return other.calls.size() == 2; });
  assert(w.raw.calls.size() == 1);
}

// Guards the descriptors: an idle connection is closed where all are in use.
void IdleConnectionIsClosedForANewOneAtTheLimit() {
  EventLoop loop;
  std::vector<std::uint64_t> outcomes;
  EndpointPool pool(loop, {1s, 15s, 8, 2}, [&](const CallResult& r) {
    assert(r.outcome == Outcome::kOk);
    outcomes.push_back(r.message_number);
  });
  std::vector<std::unique_ptr<RawEndpoint>> all;
  Request request;
  request.id = "a";
  for (std::uint64_t i = 1; i <= 5; ++i) {
    all.push_back(std::make_unique<RawEndpoint>(loop));
    all.back()->script = {kGood};
    EndpointUpdate update;
    update.record.endpoint = "s-" + std::to_string(i);
    update.address = At(all.back()->port);
    pool.UpdateEndpoint(update);
    pool.StartCall({i, &request, update.record.endpoint, 5s});
    RunUntil(loop, [&] { return outcomes.size() == i; });
  }
  assert(all[0]->closed_connections + all[1]->closed_connections + all[2]->closed_connections == 3);
  for (int i = 1; i <= 5; ++i) pool.RemoveEndpoint("s-" + std::to_string(i));
  assert(pool.endpoint_count() == 0);
}

// A pool with one endpoint, without a dispatcher.
struct RawPool {
  RawPool() {
    EndpointUpdate update;
    update.record.endpoint = "s";
    update.address = At(raw.port);
    pool.UpdateEndpoint(update);
    request.id = "a";
  }
  void Call(std::uint64_t number) { pool.StartCall({number, &request, "s", 5s}); }
  EventLoop loop;
  std::map<std::uint64_t, Outcome> outcomes;
  EndpointPool pool{
      loop, {1s, 15s, 8, 8}, [this](const CallResult& r) { outcomes[r.message_number] = r.outcome; }};
  RawEndpoint raw{loop};
  Request request;
};

// A connection that only ever brought 503 may have no place in the endpoint's table, and would be rejected
// for ever.
void ConnectionWithOnlyRejectionsIsNotReused() {
  const char unavailable[] = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  const char too_many_requests[] = "HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 5\r\nContent-Length: 0\r\n\r\n";
  const std::tuple<const char*, const char*, int> table[] = {{unavailable, kGood, 1},
                                                             {too_many_requests, kGood, 0},
                                                             {kGood, unavailable, 0},
                                                             {too_many_requests, unavailable, 0},
                                                             {unavailable, unavailable, 2}};
  for (const auto& [first, second, closed] : table) {
    RawPool w;
    w.raw.script = {first, second, kGood};
    for (std::uint64_t i = 1; i <= 3; ++i) {
      w.Call(i);
      RunUntil(w.loop, [&] { return w.outcomes.contains(i); });
    }
    RunUntil(w.loop, [&, n = closed] { return w.raw.closed_connections == n; });
    assert((w.raw.calls[0].connection != w.raw.calls[1].connection) == (closed > 0));
    assert((w.raw.calls[1].connection != w.raw.calls[2].connection) == (closed > 1));
  }
}

// A call that is still connecting is not sent once it is cancelled; one that was written ends by its
// response.
void CancelIfUnsentStopsUnwrittenCallOnly() {
  RawPool w;
  w.raw.script = {kGood};
  w.raw.answers_by_itself = false;
  w.Call(1);
  w.pool.CancelCallIfUnsent(1);  // connecting
  w.pool.CancelCallIfUnsent(7);  // not there
  RunUntil(w.loop, [&] { return w.outcomes.contains(1); });
  assert(w.outcomes[1] == Outcome::kNotSent && w.raw.calls.empty());
  w.Call(2);
  RunUntil(w.loop, [&] { return w.raw.calls.size() == 1; });
  w.pool.CancelCallIfUnsent(2);
  w.raw.Answer(0);
  RunUntil(w.loop, [&] { return w.outcomes.contains(2); });
  assert(w.outcomes[2] == Outcome::kOk && w.raw.calls.size() == 1);
}

// Guards the slots against truncated responses: the delivery counts, and the call soon frees its slot.
void TruncatedResponseFreesItsSlotSoon() {
  RawWorld w;
  w.raw.script = {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"};
  assert(w.AwaitStatus(w.Post("aviso", "short")) == 202);
  RunUntil(w.loop, [&] { return w.raw.calls.size() == 1; });
  const auto started_at = std::chrono::steady_clock::now();
  RunUntil(w.loop, [&] { return w.raw.closed_connections == 1; });
  assert(std::chrono::steady_clock::now() - started_at < 800ms);  // a malformed one may take a second
  w.raw.script = {kGood};
  assert(w.AwaitStatus(w.Post("aviso", "next")) == 202);
  RunUntil(w.loop, [&] { return w.CallsOf("next") == 1; });
  assert(w.CallsOf("short") == 1);
}

// A connection that fell silent holds a slot that others wait for. The calls that are answered meanwhile show
// it, and the message is sent again within a third of its time-out.
void SilentCallIsRetriedOnceOthersHaveOvertakenIt() {
  World w(1, 2);
  w.endpoints[0]->script = {0};
  w.Start();
  const auto started_at = std::chrono::steady_clock::now();
  ClientRequest& silent = w.Post("aviso", "silent");
  RunUntil(w.loop, [&] { return w.CountCallsOf("silent") == 1; });
  for (int i = 0; i < 20; ++i) w.Post("aviso", "m" + std::to_string(i));
  RunUntil(w.loop, [&] { return w.CountCallsOf("silent") == 2 && w.CountCalls() == 22; });
  assert(std::chrono::steady_clock::now() - started_at < 800ms && w.AwaitStatus(silent) == 202);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  MalformedResponsesCountByTheirStatusLine();
  InterimResponsesAreSkipped();
  BytesBehindAResponseAreNotTheNextResponse();
  ConnectionToAFormerAddressIsClosedAfterItsCall();
  IdleConnectionIsClosedForANewOneAtTheLimit();
  ConnectionWithOnlyRejectionsIsNotReused();
  CancelIfUnsentStopsUnwrittenCallOnly();
  TruncatedResponseFreesItsSlotSoon();
  SilentCallIsRetriedOnceOthersHaveOvertakenIt();
  std::puts("9 passed, 0 failed");
}
