// A cut-down fleet on real sockets: a dozen dispatchers in one process that are told of a hundred, and one
// endpoint whose table holds four connections, idle ones counted.
#include "world.h"

namespace sagetally {
namespace {

// What finds no place is answered 503 for as long as it lives, as the platform's endpoints do.
class SmallTable {
 public:
  SmallTable(EventLoop& loop, std::size_t most) : loop_(loop), most_(most) {
    listener_ = ListenOnLoopback(loop, Accepted, this, port);
  }
  std::uint16_t port = 0;
  std::map<std::string, int> delivered;

 private:
  using Buffers = std::unique_ptr<bufferevent, Free<bufferevent_free>>;
  static void Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* t = static_cast<SmallTable*>(self);
    bufferevent* b = bufferevent_socket_new(t->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    t->all_.emplace_back(b);
    if (t->placed_.size() < t->most_) t->placed_.insert(b);
    bufferevent_setcb(b, Read, nullptr, Ended, t);
    bufferevent_enable(b, EV_READ | EV_WRITE);
  }
  static void Read(bufferevent* b, void* self) {
    auto* t = static_cast<SmallTable*>(self);
    evbuffer* in = bufferevent_get_input(b);
    std::string text(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, text.data(), text.size());
    const std::size_t id = text.find("X-Request-Id: ") + 14;
    const bool placed = t->placed_.contains(b);
    if (placed) t->delivered[text.substr(id, text.find('\r', id) - id)] += 1;
    if (!placed) return Answer(b, "503 Full");  // before the handshake, so to speak
    t->late_.push_back(std::make_unique<Timer>(t->loop_, [t, b] {
      if (t->placed_.contains(b)) Answer(b, "200 OK");
    }));
    t->late_.back()->Schedule(30ms);
  }
  static void Answer(bufferevent* b, const std::string& line) {
    const std::string answer = "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n\r\n";
    bufferevent_write(b, answer.data(), answer.size());
  }
  static void Ended(bufferevent* b, short what, void* self) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    bufferevent_setcb(b, nullptr, nullptr, nullptr, nullptr);
    static_cast<SmallTable*>(self)->placed_.erase(b);
  }
  EventLoop& loop_;
  const std::size_t most_;
  ListenerPtr listener_;
  std::vector<Buffers> all_;
  std::set<bufferevent*> placed_;
  std::vector<std::unique_ptr<Timer>> late_;
};

void EveryDispatcherFindsAPlaceInASmallTable() {
  constexpr int kNodes = 12;
  World w;
  SmallTable table(w.loop, 4);
  w.ports[0] = table.port;
  std::vector<std::unique_ptr<Folder>> folders;
  std::vector<std::unique_ptr<Dispatcher>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    folders.push_back(std::make_unique<Folder>());
    std::string text = w.ConfigText();
    const std::string settings = "\"settings\":{";
    text.replace(text.find(settings), settings.size(), settings + "\"balancers\":100,");
    text.replace(text.find("\"1f\""), 4, "\"" + std::to_string(i + 1) + "\"");
    text.replace(text.find(w.folder.path), w.folder.path.size(), folders.back()->path);
    nodes.push_back(std::make_unique<Dispatcher>(
        w.loop, w.log, ParseConfig(text, [](const char*) { return nullptr; }), NodeFile{}));
    nodes.back()->Start();
  }
  const char* const classes[] = {"aviso", "pedido", "pagamento"};
  int handed_in = 0;
  // Each sends one message of each class, in turn, as thin traffic is: a place is free for the next in a
  // moment.
  for (const char* name : classes) {
    for (auto& node : nodes) {
      const std::string id = std::string(name) + std::to_string(handed_in++);
      w.asks.push_back(std::make_unique<Ask>(w.loop, node->port(), "/" + std::string(name),
                                             Headers{{"X-Request-Id", id},
                                                     {"X-Class", name},
                                                     {"X-Deadline", "9000m"},
                                                     {"X-Envelope", "dest=7"},
                                                     {"Idempotency-Key", "k-" + id}},
                                             "x"));
      assert(w.Code(*w.asks.back()) == 202);
    }
    // With places that are kept for 15 s eight of the twelve never had one.
    Until(w.loop, [&] { return static_cast<int>(table.delivered.size()) == handed_in; });
  }
  assert(w.agent.notices.empty());
  for (const auto& [id, times] : table.delivered) assert(times == 1);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  EveryDispatcherFindsAPlaceInASmallTable();
  std::puts("1 passed, 0 failed");
}
