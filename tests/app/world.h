// A world of stand-ins on one loop, for tests with real sockets: endpoints, the platform's agent, a sink of
// events, and clients round one dispatcher. Nothing here waits a fixed time; Until runs the loop up to a
// limit.
#ifndef SAGETALLY_TESTS_APP_WORLD_H_
#define SAGETALLY_TESTS_APP_WORLD_H_

#undef NDEBUG
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <cassert>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "app/dispatcher.h"
#include "loadtest/stub/agent.h"

namespace sagetally {

using namespace std::chrono_literals;

inline std::string At(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Runs the loop until `done`; a minute without it is a failure.
template <typename F>
void Until(EventLoop& loop, F done) {
  const auto limit = std::chrono::steady_clock::now() + 60s;
  while (!done()) {
    assert(std::chrono::steady_clock::now() < limit);
    Timer tick(loop, [] {});  // the loop turns at least this often, so that the limit is seen
    tick.Schedule(20ms);
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
}
inline void RunFor(EventLoop& loop, Duration d) {
  bool over = false;
  Timer timer(loop, [&] { over = true; });
  timer.Schedule(d);
  Until(loop, [&] { return over; });
}

// A listener on a free port of loopback, which `port` gets.
using ListenerPtr = std::unique_ptr<evconnlistener, Free<evconnlistener_free>>;
inline ListenerPtr ListenOnLoopback(EventLoop& loop, evconnlistener_cb accepted, void* self,
                                    std::uint16_t& port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ListenerPtr listener(evconnlistener_new_bind(loop.base(), accepted, self, LEV_OPT_CLOSE_ON_FREE, -1,
                                               reinterpret_cast<sockaddr*>(&at), sizeof at));
  socklen_t size = sizeof at;
  getsockname(evconnlistener_get_fd(listener.get()), reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return listener;
}

struct Seen {  // one call at an endpoint
  std::string id, key, deadline, body;
  Headers headers;
  std::chrono::steady_clock::time_point at;
};

// An endpoint: answers by script, then with 200. 0 holds the call, -1 breaks its connection.
class StandInEndpoint {
 public:
  explicit StandInEndpoint(EventLoop& loop)
      : listener_(loop, {"127.0.0.1", 0},
                  [this](const std::shared_ptr<loadtest::Call>& call) { Called(call); }) {}
  std::uint16_t port() const { return listener_.port(); }
  void Release() {  // answers what is held with 200, and all that comes
    script.clear();
    otherwise = 200;
    for (const auto& call : std::exchange(held, {})) call->Answer(200);
  }

  std::vector<Seen> calls;
  std::deque<int> script;
  int otherwise = 200;
  Headers headers;  // with answers other than 200
  std::vector<std::shared_ptr<loadtest::Call>> held;

 private:
  void Called(const std::shared_ptr<loadtest::Call>& call) {
    assert(call->target == "/hook");
    calls.push_back({call->Header("X-Request-Id"), call->Header("Idempotency-Key"),
                     call->Header("X-Deadline"), call->body, call->headers,
                     std::chrono::steady_clock::now()});
    int code = otherwise;
    if (!script.empty()) {
      code = script.front();
      script.pop_front();
    }
    if (code == 0) {
      held.push_back(call);
    } else if (code == -1) {
      call->Reset();
    } else {
      call->Answer(code, "", code == 200 ? Headers{} : headers);
    }
  }
  loadtest::Listener listener_;
};

// One client request on a connection of its own.
class Ask {
 public:
  Ask(EventLoop& loop, std::uint16_t port, const std::string& path, const Headers& headers,
      const std::string& body, evhttp_cmd_type method = EVHTTP_REQ_POST)
      : connection_(evhttp_connection_base_new(loop.base(), nullptr, "127.0.0.1", port)) {
    evhttp_connection_set_retries(connection_.get(), 0);
    evhttp_request* request = evhttp_request_new(Done, this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "backend.local");
    for (const auto& [name, value] : headers) {
      evhttp_add_header(evhttp_request_get_output_headers(request), name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(connection_.get(), request, method, path.c_str());
  }
  int code = -1;  // -1: none yet; 0: the connection failed
  std::string text;
  Headers headers;

 private:
  static void Done(evhttp_request* request, void* self) {
    auto* a = static_cast<Ask*>(self);
    a->code = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (request == nullptr || a->code == 0) return;
    evbuffer* in = evhttp_request_get_input_buffer(request);
    a->text.assign(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, a->text.data(), a->text.size());
    const evkeyvalq* all = evhttp_request_get_input_headers(request);
    for (const evkeyval* h = all->tqh_first; h != nullptr; h = h->next.tqe_next) {
      a->headers.emplace_back(h->key, h->value);
    }
  }
  ConnectionPtr connection_;
};

// A client that writes whatever bytes it likes.
class RawClient {
 public:
  RawClient(EventLoop& loop, std::uint16_t port, const std::string& text)
      : buffers_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_setcb(buffers_.get(), Read, nullptr, Happened, this);
    bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(buffers_.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
    Write(text);
  }
  void Write(const std::string& text) { bufferevent_write(buffers_.get(), text.data(), text.size()); }
  bool failed() const {  // an error or a close
    return closed || (got.starts_with("HTTP/1.1 ") && (got[9] == '4' || got[9] == '5'));
  }
  std::string got;
  bool closed = false;

 private:
  static void Read(bufferevent* b, void* self) {
    evbuffer* in = bufferevent_get_input(b);
    std::string text(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, text.data(), text.size());
    static_cast<RawClient*>(self)->got += text;
  }
  static void Happened(bufferevent*, short what, void* self) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) static_cast<RawClient*>(self)->closed = true;
  }
  std::unique_ptr<bufferevent, Free<bufferevent_free>> buffers_;
};

inline std::string HeaderOf(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (evutil_ascii_strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

class Folder {
 public:
  Folder() {
    char name[] = "/tmp/sagetally-node-XXXXXX";
    assert(mkdtemp(name) != nullptr);
    path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

struct World {
  explicit World(int endpoints = 1, int slots = 8, int most_held = 50) : slots(slots), most_held(most_held) {
    std::signal(SIGPIPE, SIG_IGN);  // as main does
    for (int i = 0; i < endpoints; ++i) {
      this->endpoints.push_back(std::make_unique<StandInEndpoint>(loop));
      ports.push_back(this->endpoints.back()->port());
    }
  }

  // An entry of discovery's list; endpoint `i` belongs to destination 7.
  std::string Entry(std::size_t i, const std::string& state = "in_service") const {
    return R"({"uid":"s-)" + std::to_string(i) + R"(","endpoint":")" + At(ports[i]) +
           R"(","az":"z","model":"k","pod_group":)" + std::to_string(7 + (spread ? i : 0)) + R"(,"state":")" +
           state + R"(","capacity_hint":)" + std::to_string(rate) + R"(,"boot_ms":0})";
  }
  std::string List(const std::string& state = "in_service") const {
    std::string all;
    for (std::size_t i = 0; i < ports.size(); ++i) all += (i == 0 ? "" : ",") + Entry(i, state);
    return R"({"rev":41,"all":true,"targets":[)" + all + "]}";
  }
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
           R"("specifics":{"callsOut":)" + std::to_string(slots) + R"(},"caps":{"mostHeld":)" +
           std::to_string(most_held) +
           R"(,"maxAttempts":6,"cancel":true,"connIdle":15000,"connectTimeout":1500},)" +
           R"("rules":{"coldShare":0.3,"fallMultiple":1.5,"tipAfter":1500,"warmWithin":11000}}})";
  }
  void Start() {
    const Config config = ParseConfig(ConfigText(), [](const char*) { return nullptr; });
    NodeFile deploy;
    deploy.cloudevents = CloudEventsSettings{{"127.0.0.1", 0}, {}, "/results"};
    if (sink) deploy.cloudevents->sink = Address{"127.0.0.1", sink->port()};
    deploy.dead_letters = kept;
    deploy.journal = journal;
    auto started = std::make_unique<Dispatcher>(loop, log, config, deploy);
    started->Start();
    dispatcher = std::move(started);
  }
  // As SIGKILL leaves it: nothing is said or written any more.
  void Kill() { dispatcher.reset(); }

  Ask& Post(const std::string& cls, const std::string& id, const std::string& body = "x",
            const std::string& deadline = "9000m") {
    const Headers headers = {{"X-Request-Id", id},
                             {"X-Class", cls},
                             {"X-Deadline", deadline},
                             {"X-Envelope", "dest=7"},
                             {"Idempotency-Key", "k-" + id}};
    return PostRaw("/" + cls, headers, body);
  }
  Ask& PostRaw(const std::string& path, const Headers& headers, const std::string& body) {
    asks.push_back(std::make_unique<Ask>(loop, dispatcher->port(), path, headers, body));
    return *asks.back();
  }
  Ask& PostEvent(const Headers& headers, const std::string& body) {
    asks.push_back(std::make_unique<Ask>(loop, dispatcher->events_port(), "/", headers, body));
    return *asks.back();
  }
  int Code(Ask& ask) {
    Until(loop, [&] { return ask.code >= 0; });
    return ask.code;
  }
  std::size_t Calls() const {
    std::size_t n = 0;
    for (const auto& endpoint : endpoints) n += endpoint->calls.size();
    return n;
  }
  std::size_t CallsOf(const std::string& id) const {
    std::size_t n = 0;
    for (const auto& endpoint : endpoints) {
      for (const Seen& seen : endpoint->calls) n += seen.id == id ? 1 : 0;
    }
    return n;
  }

  EventLoop loop;
  Logger log;
  Folder folder;
  int slots, most_held, sockets = 256;
  double disk_mb = 3;
  loadtest::Agent agent{loop};
  std::vector<std::unique_ptr<StandInEndpoint>> endpoints;
  std::vector<std::uint16_t> ports;
  std::unique_ptr<HttpServer> sink;
  std::vector<std::unique_ptr<Ask>> asks;
  std::unique_ptr<Dispatcher> dispatcher;
  std::optional<DeadLetterSettings> kept;
  JournalFileSettings journal;
  bool admin = false;   // the operators' door is open
  bool spread = false;  // each endpoint is a destination of its own, from 7 on
  int repeat_window_ms = 10000;
  double rate = 50;  // calls a second that the list tells of the destination
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_WORLD_H_
