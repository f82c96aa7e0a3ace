// Tests a small fleet on real sockets: twelve dispatchers in one process, each configured as one of a
// hundred, and an endpoint that accepts four connections at once, idle ones included.
#include "raw_server.h"
#include "world.h"

namespace sagetally {
namespace {

// An endpoint that serves a limited number of connections. Like the platform's endpoints, it answers 503 to
// each request on a connection beyond the limit, until that connection is closed.
class ConnectionLimitedEndpoint : public RawServer {
 public:
  ConnectionLimitedEndpoint(EventLoop& loop, std::size_t max_connections)
      : RawServer(loop), max_connections_(max_connections) {}

  std::map<std::string, int> delivered;  // the number of deliveries of each message, by its id

 private:
  static constexpr Duration kServiceTime = 30ms;

  void OnConnected(bufferevent* connection) override {
    if (served_connections_.size() < max_connections_) served_connections_.insert(connection);
  }
  void OnText(bufferevent* connection, const std::string& text) override {
    if (!served_connections_.contains(connection)) return Answer(connection, "503 Full");
    delivered[RequestId(text)] += 1;
    answer_timers_.push_back(std::make_unique<Timer>(loop(), [this, connection] {
      if (served_connections_.contains(connection)) Answer(connection, "200 OK");
    }));
    answer_timers_.back()->Schedule(kServiceTime);
  }
  void OnClosed(bufferevent* connection) override { served_connections_.erase(connection); }
  static void Answer(bufferevent* connection, const std::string& status) {
    Write(connection, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
  }

  const std::size_t max_connections_;
  std::set<bufferevent*> served_connections_;
  std::vector<std::unique_ptr<Timer>> answer_timers_;
};

void EveryDispatcherDeliversToAConnectionLimitedEndpoint() {
  constexpr int kDispatchers = 12;
  World world;
  ConnectionLimitedEndpoint endpoint(world.loop, 4);
  world.ports[0] = endpoint.port;
  std::vector<std::unique_ptr<TemporaryFolder>> folders;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  for (int i = 0; i < kDispatchers; ++i) {
    folders.push_back(std::make_unique<TemporaryFolder>());
    std::string text = world.ConfigText();
    const std::string settings = "\"settings\":{";
    text.replace(text.find(settings), settings.size(), settings + "\"balancers\":100,");
    text.replace(text.find("\"1f\""), 4, "\"" + std::to_string(i + 1) + "\"");
    text.replace(text.find(world.folder.path), world.folder.path.size(), folders.back()->path);
    dispatchers.push_back(
        std::make_unique<Dispatcher>(world.loop, world.log, ParseConfigWithoutEnvironment(text), NodeFile{}));
    dispatchers.back()->Start();
  }
  const char* const classes[] = {"aviso", "pedido", "pagamento"};
  int submitted = 0;
  // Each dispatcher sends one message of each class, one dispatcher after the other. At this low rate a
  // connection soon becomes free for the next one.
  for (const char* class_name : classes) {
    for (auto& dispatcher : dispatchers) {
      const std::string id = std::string(class_name) + std::to_string(submitted++);
      world.client_requests.push_back(std::make_unique<ClientRequest>(world.loop, dispatcher->port(),
                                                                      "/" + std::string(class_name),
                                                                      Headers{{"X-Request-Id", id},
                                                                              {"X-Class", class_name},
                                                                              {"X-Deadline", "9000m"},
                                                                              {"X-Envelope", "dest=7"},
                                                                              {"Idempotency-Key", "k-" + id}},
                                                                      "x"));
      assert(world.AwaitStatus(*world.client_requests.back()) == 202);
    }
    // If idle connections stayed open for 15 s, eight of the twelve dispatchers would never get a connection.
    RunUntil(world.loop, [&] { return static_cast<int>(endpoint.delivered.size()) == submitted; });
  }
  assert(world.agent.notices.empty());
  for (const auto& [id, count] : endpoint.delivered) assert(count == 1);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  EveryDispatcherDeliversToAConnectionLimitedEndpoint();
  std::puts("1 passed, 0 failed");
}
