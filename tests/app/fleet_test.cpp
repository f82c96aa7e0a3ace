// A cut-down fleet on real sockets: a dozen dispatchers in one process that are configured as a hundred, and
// one endpoint whose table holds four connections, idle ones included.
#include "raw_server.h"
#include "world.h"

namespace sagetally {
namespace {

// An endpoint whose table of connections has few places. A connection that finds none is answered 503 for as
// long as it lives, as the platform's endpoints do.
class SmallTable : public RawServer {
 public:
  SmallTable(EventLoop& loop, std::size_t max_connections)
      : RawServer(loop), max_connections_(max_connections) {}

  std::map<std::string, int> delivered;  // how often each message was

 private:
  static constexpr Duration kServiceTime = 30ms;

  void OnConnected(bufferevent* connection) override {
    if (placed_.size() < max_connections_) placed_.insert(connection);
  }
  void OnText(bufferevent* connection, const std::string& text) override {
    if (!placed_.contains(connection)) return Answer(connection, "503 Full");
    delivered[RequestId(text)] += 1;
    answer_timers_.push_back(std::make_unique<Timer>(loop(), [this, connection] {
      if (placed_.contains(connection)) Answer(connection, "200 OK");
    }));
    answer_timers_.back()->Schedule(kServiceTime);
  }
  void OnClosed(bufferevent* connection) override { placed_.erase(connection); }
  static void Answer(bufferevent* connection, const std::string& status) {
    Write(connection, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
  }

  const std::size_t max_connections_;
  std::set<bufferevent*> placed_;
  std::vector<std::unique_ptr<Timer>> answer_timers_;
};

void EveryDispatcherDeliversThroughASmallConnectionTable() {
  constexpr int kNodes = 12;
  World w;
  SmallTable table(w.loop, 4);
  w.ports[0] = table.port;
  std::vector<std::unique_ptr<TemporaryFolder>> folders;
  std::vector<std::unique_ptr<Dispatcher>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    folders.push_back(std::make_unique<TemporaryFolder>());
    std::string text = w.ConfigText();
    const std::string settings = "\"settings\":{";
    text.replace(text.find(settings), settings.size(), settings + "\"balancers\":100,");
    text.replace(text.find("\"1f\""), 4, "\"" + std::to_string(i + 1) + "\"");
    text.replace(text.find(w.folder.path), w.folder.path.size(), folders.back()->path);
    nodes.push_back(std::make_unique<Dispatcher>(w.loop, w.log, ParseWithoutVariables(text), NodeFile{}));
    nodes.back()->Start();
  }
  const char* const classes[] = {"aviso", "pedido", "pagamento"};
  int submitted = 0;
  // Each sends one message of each class, in turn, as thin traffic is: a place is free for the next in a
  // moment.
  for (const char* name : classes) {
    for (auto& node : nodes) {
      const std::string id = std::string(name) + std::to_string(submitted++);
      w.client_requests.push_back(std::make_unique<ClientRequest>(w.loop, node->port(),
                                                                  "/" + std::string(name),
                                                                  Headers{{"X-Request-Id", id},
                                                                          {"X-Class", name},
                                                                          {"X-Deadline", "9000m"},
                                                                          {"X-Envelope", "dest=7"},
                                                                          {"Idempotency-Key", "k-" + id}},
                                                                  "x"));
      assert(w.AwaitStatus(*w.client_requests.back()) == 202);
    }
    // If idle connections kept their places for 15 s, eight of the twelve would never have one.
    RunUntil(w.loop, [&] { return static_cast<int>(table.delivered.size()) == submitted; });
  }
  assert(w.agent.notices.empty());
  for (const auto& [id, times] : table.delivered) assert(times == 1);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  EveryDispatcherDeliversThroughASmallConnectionTable();
  std::puts("1 passed, 0 failed");
}
