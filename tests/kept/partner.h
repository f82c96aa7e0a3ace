// A partner that fails in every way of PROTOCOL, counts what takes effect, and remembers keys for a while.
// Names of messages are their bodies: 'p...' must never take effect twice, 'k...' carries a key, 'a...' may
// repeat.
#ifndef SAGETALLY_TESTS_KEPT_PARTNER_H_
#define SAGETALLY_TESTS_KEPT_PARTNER_H_

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "../node/world.h"

namespace sagetally {

class Partner {
 public:
  enum class Fault { kWell, kFull, kShut, kError, kReset, kSpoilt, kSilentLate, kSilent };
  using SteadyTime = std::chrono::steady_clock::time_point;

  Partner(Loop& loop, std::uint64_t seed, Duration memory) : loop_(loop), random_(seed), memory_(memory) {
    listener_ = ListenOnLoopback(loop, Accepted, this, port);
  }

  std::uint16_t port = 0;
  std::vector<Fault> menu = {Fault::kWell};              // one is drawn for each call
  Duration pause{0};                                     // before each answer
  std::map<std::string, int> effects, calls, delivered;  // by name
  int forbidden_repeats = 0, second_copies = 0, too_many_calls = 0, dropped_repeats = 0, out = 0,
      most_out = 0;

 private:
  struct Client {
    Partner* partner = nullptr;
    std::unique_ptr<bufferevent, Free<bufferevent_free>> buffers;
    std::string name;  // of the call out
    std::vector<std::unique_ptr<Timer>> timers;
  };

  static void Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* p = static_cast<Partner*>(self);
    auto client = std::make_unique<Client>();
    client->partner = p;
    client->buffers.reset(bufferevent_socket_new(p->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(client->buffers.get(), Read, nullptr, Ended, client.get());
    bufferevent_enable(client->buffers.get(), EV_READ | EV_WRITE);
    p->clients_[client.get()] = std::move(client);
  }

  static std::string Header(const std::string& head, const std::string& name) {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == head.npos) return "";
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }

  static void Read(bufferevent* b, void* self) {
    auto* c = static_cast<Client*>(self);
    evbuffer* in = bufferevent_get_input(b);
    std::string text(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, text.data(), text.size());
    const std::size_t head = text.find("\r\n\r\n");
    if (head == text.npos) return;
    const std::size_t length = std::stoul(Header(text.substr(0, head + 2), "Content-Length"));
    if (text.size() < head + 4 + length) return;
    evbuffer_drain(in, head + 4 + length);
    c->partner->Called(*c, text.substr(head + 4, length),
                       Header(text.substr(0, head + 2), "Idempotency-Key"));
  }

  static void Ended(bufferevent*, short what, void* self) {
    auto* c = static_cast<Client*>(self);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) c->partner->Close(*c);
  }

  void Over(Client& c) {
    if (c.name.empty()) return;
    open_.erase(open_.find(c.name));
    c.name.clear();
    --out;
  }
  void Close(Client& c) {
    Over(c);
    late_.insert(late_.end(), std::make_move_iterator(c.timers.begin()),
                 std::make_move_iterator(c.timers.end()));
    clients_.erase(&c);
  }

  void Called(Client& c, const std::string& name, const std::string& key) {
    if (open_.contains(name)) ++second_copies;
    open_.insert(name);
    c.name = name;
    most_out = std::max(most_out, ++out);
    if (++calls[name] > 6) ++too_many_calls;
    boost::random::uniform_int_distribution<std::size_t> draw(0, menu.size() - 1);
    const Fault fault = menu[draw(random_)];
    const bool ran = draw(random_) % 2 == 0;
    if (pause > Duration(0))
      return After(c, pause, [this, &c, name, key, fault, ran] { Do(c, name, key, fault, ran); });
    Do(c, name, key, fault, ran);
  }

  static long Ms() { return static_cast<long>(SteadyTime::clock::now().time_since_epoch() / 1ms); }

  void Do(Client& c, const std::string& name, const std::string& key, Fault fault, bool ran) {
    seen_[name] +=
        " " + std::to_string(Ms()) + "/" + std::to_string(static_cast<int>(fault)) + (ran ? "r" : "");
    switch (fault) {
      case Fault::kWell:
        Effect(name, key);
        ++delivered[name];
        return Write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      case Fault::kFull:
        return Write(c, "HTTP/1.1 429 Full\r\nX-Retry-In-Ms: 20\r\nContent-Length: 0\r\n\r\n");
      case Fault::kShut:
        return Write(c, "HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n");
      case Fault::kError:
        if (ran) Effect(name, key);
        return Write(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
      case Fault::kReset:
        if (ran) Effect(name, key);
        return Close(c);
      case Fault::kSpoilt:
        Effect(name, key);
        return Write(c, "HTTP/1.1 500 nonsense\r\nContent-Length: -7\r\n\r\nzzzz");
      case Fault::kSilentLate:  // given up by the dispatcher, and run later all the same
        return After(c, 300ms, [this, name, key] { Effect(name, key); });
      case Fault::kSilent:
        return;
    }
  }

  void Write(Client& c, const std::string& text) {
    Over(c);
    bufferevent_write(c.buffers.get(), text.data(), text.size());
  }

  template <typename F>
  void After(Client& c, Duration d, F f) {
    c.timers.push_back(std::make_unique<Timer>(loop_, f));
    c.timers.back()->After(d);
  }

  void Effect(const std::string& name, const std::string& key) {
    const auto now = std::chrono::steady_clock::now();
    if (name[0] == 'k' && !key.empty()) {
      const auto known = remembered_.find(key);
      if (known != remembered_.end() && now - known->second < memory_) {
        ++dropped_repeats;
        return;
      }
      remembered_[key] = now;
    }
    if (++effects[name] > 1 && name[0] != 'a') {
      ++forbidden_repeats;
      std::fprintf(stderr, "forbidden repeat of %s:%s now %ld\n", name.c_str(), seen_[name].c_str(), Ms());
    }
  }

  Loop& loop_;
  boost::random::mt19937_64 random_;
  const Duration memory_;
  ListenerPtr listener_;
  std::map<Client*, std::unique_ptr<Client>> clients_;
  std::vector<std::unique_ptr<Timer>> late_;  // of calls that run on without their connection
  std::multiset<std::string> open_;
  std::map<std::string, std::string> seen_;       // calls with their faults, for the report of a broken rule
  std::map<std::string, SteadyTime> remembered_;  // keys that took effect
};

// Clients that hand in messages named KIND + number at a steady rate, and remember what they were answered.
class Clients {
 public:
  Clients(Loop& loop, std::function<std::uint16_t()> port, std::uint64_t seed)
      : loop_(loop), port_(std::move(port)), random_(seed), next_(loop, [this] { Post(); }) {}

  void Start(Duration every) {
    every_ = every;
    next_.After(Duration(0));
  }
  void Pause() { next_.Stop(); }
  // Names answered with 202, and those of which the client can't know.
  std::set<std::string> Taken() const {
    return Answered([](int code) { return code == 202; });
  }
  std::set<std::string> Unknown() const {
    return Answered([](int code) { return code <= 0; });
  }
  int deadline_ms = 600;
  std::size_t destinations = 1;  // from 7 on
  int posted = 0;

 private:
  template <typename F>
  std::set<std::string> Answered(F wanted) const {
    std::set<std::string> names;
    for (const auto& [name, ask] : asks_) {
      if (wanted(ask->code)) names.insert(name);
    }
    return names;
  }
  void Post() {
    constexpr const char* kClasses[] = {"aviso", "pedido", "pagamento"};
    const int kind = boost::random::uniform_int_distribution<int>(0, 2)(random_);
    const std::string name = "akp"[kind] + std::to_string(posted++);
    const Headers headers = {
        {"X-Request-Id", name},
        {"X-Class", kClasses[kind]},
        {"X-Deadline", std::to_string(deadline_ms) + "m"},
        {"X-Envelope", "dest=" + std::to_string(7 + posted % static_cast<int>(destinations))},
        {"Idempotency-Key", "key-" + name}};
    asks_[name] = std::make_unique<Ask>(loop_, port_(), std::string("/") + kClasses[kind], headers, name);
    next_.After(every_);
  }
  Loop& loop_;
  std::function<std::uint16_t()> port_;
  boost::random::mt19937_64 random_;
  Duration every_{0};
  Timer next_;
  std::map<std::string, std::unique_ptr<Ask>> asks_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_KEPT_PARTNER_H_
