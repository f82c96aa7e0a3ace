// Endpoints that answer what can't be read, or more than is theirs.
#include "world.h"

namespace sagetally {
namespace {

// Answers each call with the next of `script` (the last one again and again), byte for byte.
class RawEndpoint {
 public:
  explicit RawEndpoint(EventLoop& loop) : loop_(loop) {
    listener_ = ListenOnLoopback(loop, Accepted, this, port);
  }
  void Answer(std::size_t call) {
    const std::string text = script.front();
    if (script.size() > 1) script.pop_front();
    bufferevent_write(calls.at(call).second, text.data(), text.size());
  }
  std::uint16_t port = 0;
  bool hold = false;
  int closed = 0;  // by the dispatcher
  std::deque<std::string> script;
  std::vector<std::pair<std::string, bufferevent*>> calls;  // ids, and where they came

 private:
  using Buffers = std::unique_ptr<bufferevent, Free<bufferevent_free>>;
  static void Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* e = static_cast<RawEndpoint*>(self);
    e->all_.emplace_back(bufferevent_socket_new(e->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(e->all_.back().get(), Read, nullptr, Ended, e);
    bufferevent_enable(e->all_.back().get(), EV_READ | EV_WRITE);
  }
  static void Read(bufferevent* b, void* self) {
    auto* e = static_cast<RawEndpoint*>(self);
    evbuffer* in = bufferevent_get_input(b);
    std::string text(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, text.data(), text.size());
    const std::size_t id = text.find("X-Request-Id: ") + 14;
    e->calls.emplace_back(text.substr(id, text.find('\r', id) - id), b);
    if (!e->hold) e->Answer(e->calls.size() - 1);
  }
  static void Ended(bufferevent* b, short what, void* self) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    bufferevent_setcb(b, nullptr, nullptr, nullptr, nullptr);  // once
    static_cast<RawEndpoint*>(self)->closed += 1;
  }
  EventLoop& loop_;
  ListenerPtr listener_;
  std::vector<Buffers> all_;
};

const char kGood[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct RawWorld : World {
  RawWorld() : World(1) {
    ports[0] = raw.port;
    raw.script = {kGood};
    Start();
  }
  std::size_t CallsOf(const std::string& id) const {
    std::size_t n = 0;
    for (const auto& call : raw.calls) n += call.first == id ? 1 : 0;
    return n;
  }
  RawEndpoint raw{loop};
};

// A first line with 200 is true whatever follows; all else that can't be read may have run: nothing unsafe
// goes again. The connection is of no further use.
void SpoiltAnswers() {
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
    assert(w.Code(w.Post("pagamento", id)) == 202);
    Until(w.loop, [&] { return w.raw.closed == 1; });
    if (!delivered) {
      Until(w.loop, [&] { return w.agent.Told("\"" + id + "\",\"status\":\"undeliverable\""); });
    }
    assert(w.Code(w.Post("aviso", "next")) == 202);
    Until(w.loop, [&] { return w.CallsOf("next") == 1; });
    assert(w.CallsOf(id) == 1 && w.raw.calls[0].second != w.raw.calls[1].second);
    assert(w.agent.notices.empty() == delivered);
  }
}

void InterimAnswersAreNotTheAnswer() {
  RawWorld w;
  w.raw.script = {std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Load: x1=1\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n") +
                      "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
                  std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + kGood};
  assert(w.Code(w.Post("aviso", "a")) == 202);
  Until(w.loop, [&] { return w.CallsOf("a") == 2; });  // the 500 was heard
  assert(w.Code(w.Post("aviso", "b")) == 202);
  Until(w.loop, [&] { return w.CallsOf("b") == 1; });
  assert(w.CallsOf("a") == 2 && w.raw.closed == 0);
}

// Guards against a copy of one answer passing for the answer to the next call.
void WhatStandsBehindAnAnswerIsNobodys() {
  RawWorld w;
  w.raw.script = {std::string(kGood) + kGood, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", kGood};
  assert(w.Code(w.Post("aviso", "a")) == 202);
  Until(w.loop, [&] { return w.raw.closed == 1; });
  assert(w.Code(w.Post("aviso", "b")) == 202);
  Until(w.loop, [&] { return w.CallsOf("b") == 2; });  // its own answer was a 500
  assert(w.CallsOf("a") == 1);
}

// Guards against a connection to an old address that outlives a move, and endpoints kept for good.
void ACallOutWhileItsEndpointMovesGoesIdleNowhere() {
  RawWorld w;
  RawEndpoint other(w.loop);
  other.script = {kGood};
  w.raw.hold = true;
  assert(w.Code(w.Post("aviso", "a")) == 202);
  Until(w.loop, [&] { return w.CallsOf("a") == 1 && w.agent.watch != nullptr; });
  w.ports[0] = other.port;
  w.agent.Say("{\"rev\":42,\"all\":false,\"targets\":[" + w.Entry(0) + "]}");
  assert(w.Code(w.Post("aviso", "b")) == 202);
  Until(w.loop, [&] { return other.calls.size() == 1; });
  w.raw.Answer(0);
  Until(w.loop, [&] { return w.raw.closed == 1; });
  assert(w.Code(w.Post("aviso", "c")) == 202);
  Until(w.loop, [&] { return other.calls.size() == 2; });
  assert(w.raw.calls.size() == 1);
}

// Guards the descriptors: an idle connection gives way where all are taken.
void IdleConnectionsGiveWay() {
  EventLoop loop;
  std::vector<std::uint64_t> back;
  EndpointPool pool(loop, {1s, 15s, 8, 2}, [&](const CallResult& r) {
    assert(r.outcome == Outcome::kOk);
    back.push_back(r.number);
  });
  std::vector<std::unique_ptr<RawEndpoint>> all;
  Request request;
  request.id = "a";
  for (std::uint64_t i = 1; i <= 5; ++i) {
    all.push_back(std::make_unique<RawEndpoint>(loop));
    all.back()->script = {kGood};
    EndpointUpdate news;
    news.record.endpoint = "s-" + std::to_string(i);
    news.address = At(all.back()->port);
    pool.UpdateEndpoint(news);
    pool.StartCall({i, &request, news.record.endpoint, 5s});
    Until(loop, [&] { return back.size() == i; });
  }
  assert(all[0]->closed + all[1]->closed + all[2]->closed == 3);
  for (int i = 1; i <= 5; ++i) pool.RemoveEndpoint("s-" + std::to_string(i));
  assert(pool.endpoints() == 0);
}

// A pool with one endpoint, without a dispatcher round it.
struct RawPool {
  RawPool() {
    EndpointUpdate news;
    news.record.endpoint = "s";
    news.address = At(raw.port);
    pool.UpdateEndpoint(news);
    request.id = "a";
  }
  void Call(std::uint64_t number) { pool.StartCall({number, &request, "s", 5s}); }
  EventLoop loop;
  std::map<std::uint64_t, Outcome> back;
  EndpointPool pool{loop, {1s, 15s, 8, 8}, [this](const CallResult& r) { back[r.number] = r.outcome; }};
  RawEndpoint raw{loop};
  Request request;
};

// A connection that only ever brought 503 may stand outside of the endpoint's table and is refused for ever.
void AConnectionThatFoundNoPlaceIsNotUsedAgain() {
  const char kShut[] = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  const char kOver[] = "HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 5\r\nContent-Length: 0\r\n\r\n";
  const std::tuple<const char*, const char*, int> table[] = {
      {kShut, kGood, 1}, {kOver, kGood, 0}, {kGood, kShut, 0}, {kOver, kShut, 0}, {kShut, kShut, 2}};
  for (const auto& [first, second, closed] : table) {
    RawPool w;
    w.raw.script = {first, second, kGood};
    for (std::uint64_t i = 1; i <= 3; ++i) {
      w.Call(i);
      Until(w.loop, [&] { return w.back.contains(i); });
    }
    Until(w.loop, [&, n = closed] { return w.raw.closed == n; });
    assert((w.raw.calls[0].second != w.raw.calls[1].second) == (closed > 0));
    assert((w.raw.calls[1].second != w.raw.calls[2].second) == (closed > 1));
  }
}

// A call that is still connecting leaves no trace once it is recalled; one that was written ends by its
// answer.
void ARecalledCallIsNotWrittenAnyMore() {
  RawPool w;
  w.raw.script = {kGood};
  w.raw.hold = true;
  w.Call(1);
  w.pool.CancelCallIfUnsent(1);  // connecting
  w.pool.CancelCallIfUnsent(7);  // not there
  Until(w.loop, [&] { return w.back.contains(1); });
  assert(w.back[1] == Outcome::kNotSent && w.raw.calls.empty());
  w.Call(2);
  Until(w.loop, [&] { return w.raw.calls.size() == 1; });
  w.pool.CancelCallIfUnsent(2);
  w.raw.Answer(0);
  Until(w.loop, [&] { return w.back.contains(2); });
  assert(w.back[2] == Outcome::kOk && w.raw.calls.size() == 1);
}

// Guards the slots against answers that stop short: delivered is delivered, and the call soon gives way.
void AnAnswerThatStopsShortSoonGivesWay() {
  RawWorld w;
  w.raw.script = {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"};
  assert(w.Code(w.Post("aviso", "short")) == 202);
  Until(w.loop, [&] { return w.raw.calls.size() == 1; });
  const auto begun = std::chrono::steady_clock::now();
  Until(w.loop, [&] { return w.raw.closed == 1; });
  assert(std::chrono::steady_clock::now() - begun < 800ms);  // a spoilt one may take a second
  w.raw.script = {kGood};
  assert(w.Code(w.Post("aviso", "next")) == 202);
  Until(w.loop, [&] { return w.CallsOf("next") == 1; });
  assert(w.CallsOf("short") == 1);
}

// A connection that fell silent holds a slot that others wait for: those answered meanwhile tell, and the
// message goes out again, in a third of its time-out at most.
void ACallThatOthersHaveOvertakenGoesOutAgain() {
  World w(1, 2);
  w.endpoints[0]->script = {0};
  w.Start();
  const auto begun = std::chrono::steady_clock::now();
  Ask& silent = w.Post("aviso", "silent");
  Until(w.loop, [&] { return w.CallsOf("silent") == 1; });
  for (int i = 0; i < 20; ++i) w.Post("aviso", "m" + std::to_string(i));
  Until(w.loop, [&] { return w.CallsOf("silent") == 2 && w.Calls() == 22; });
  assert(std::chrono::steady_clock::now() - begun < 800ms && w.Code(silent) == 202);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  SpoiltAnswers();
  InterimAnswersAreNotTheAnswer();
  WhatStandsBehindAnAnswerIsNobodys();
  ACallOutWhileItsEndpointMovesGoesIdleNowhere();
  IdleConnectionsGiveWay();
  AConnectionThatFoundNoPlaceIsNotUsedAgain();
  ARecalledCallIsNotWrittenAnyMore();
  AnAnswerThatStopsShortSoonGivesWay();
  ACallThatOthersHaveOvertakenGoesOutAgain();
  std::puts("9 passed, 0 failed");
}
