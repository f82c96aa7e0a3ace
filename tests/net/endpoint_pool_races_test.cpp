// Calls to endpoints: where two events cross. The partner of these tests is a bare socket on the same thread,
// so what it does between two rounds of the loop has happened before the pool hears of anything.
#include <fcntl.h>
#include <poll.h>

#include "../app/world.h"

namespace sagetally {
namespace {

const std::string kGood = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// A listening socket whose accept queue holds one connection: while that place is taken, no other comes up.
class Partner {
 public:
  Partner() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    at_.sin_family = AF_INET;
    at_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert(::bind(listener_.get(), reinterpret_cast<sockaddr*>(&at_), sizeof at_) == 0);
    assert(::listen(listener_.get(), 0) == 0);
    socklen_t size = sizeof at_;
    getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&at_), &size);
  }
  std::uint16_t port() const { return ntohs(at_.sin_port); }
  // From now on connections wait to come up, until Open().
  void Shut() {
    blocker_ = FileDescriptor(::socket(AF_INET, SOCK_STREAM, 0));
    assert(::connect(blocker_.get(), reinterpret_cast<sockaddr*>(&at_), sizeof at_) == 0);
  }
  void Open() {
    const FileDescriptor first(Accept());
    assert(first.get() >= 0);
    blocker_ = FileDescriptor();
  }
  int Accept() { return ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK); }  // -1: none has come

 private:
  sockaddr_in at_{};
  FileDescriptor listener_, blocker_;
};

void Say(const FileDescriptor& fd, const std::string& text) {
  assert(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
}
std::string Heard(const FileDescriptor& fd) {
  char text[4096];
  const ssize_t n = ::recv(fd.get(), text, sizeof text, MSG_DONTWAIT);
  return n > 0 ? std::string(text, static_cast<std::size_t>(n)) : "";
}
void Reset(FileDescriptor& fd) {
  const linger at_once{1, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  fd = FileDescriptor();
}

// A pool with one endpoint, and what came back: one result for each call, or the test fails.
struct PoolWorld {
  PoolWorld() {
    std::signal(SIGPIPE, SIG_IGN);
    Tell(EndpointRecord::State::kUp);
    request.id = "a";
  }
  void Tell(EndpointRecord::State state) {
    EndpointUpdate news;
    news.record.endpoint = "s";
    news.record.state = state;
    news.address = At(partner.port());
    pool.UpdateEndpoint(news);
  }
  void Call(std::uint64_t number, Duration time_out = 5s, std::optional<Duration> write_within = {}) {
    pool.StartCall({number, &request, "s", time_out, write_within});
  }
  FileDescriptor Accepted() {
    FileDescriptor fd;
    Until(loop, [&] { return (fd = FileDescriptor(partner.Accept())).get() >= 0; });
    return fd;
  }
  FileDescriptor Called(std::uint64_t number) {  // on a new connection
    Call(number);
    FileDescriptor fd = Accepted();
    Hears(fd);
    return fd;
  }
  void Hears(const FileDescriptor& fd) {
    std::string heard;
    Until(loop, [&] { return (heard += Heard(fd)).ends_with("\r\n\r\n"); });
    assert(heard.starts_with("POST /hook "));
  }
  Outcome Back(std::uint64_t number) {
    Until(loop, [&] { return back.contains(number); });
    return back.at(number);
  }
  EventLoop loop;
  Partner partner;
  std::map<std::uint64_t, Outcome> back;
  Duration told_wait{0};  // by the last result
  EndpointPool pool{loop, {1500ms, 15s, 8, 8}, [this](const CallResult& r) {
                      assert(back.emplace(r.number, r.outcome).second);
                      told_wait = r.retry_after;
                    }};
  Request request;
};

// Guards a message against an answer that nobody has asked for: it would be lost, delivered on paper.
void WhatComesBeforeTheCallIsNoDelivery() {
  PoolWorld w;
  w.Call(1);
  FileDescriptor fd(w.partner.Accept());  // connected, and the loop has not told the pool yet
  assert(fd.get() >= 0);
  Say(fd, kGood);
  assert(w.Back(1) == Outcome::kConnectFailed && Heard(fd).empty());
  w.Call(2);
  fd = FileDescriptor(w.partner.Accept());
  Say(fd,
      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");  // no place in its table: it need not read a call
  assert(w.Back(2) == Outcome::kRejected && Heard(fd).empty());
  w.Call(3);
  fd = FileDescriptor(w.partner.Accept());
  Say(fd, "HTTP/1.1 200");  // half a line, and then nothing
  fd = FileDescriptor();
  assert(w.Back(3) == Outcome::kConnectFailed);
}

// The partner ends a resting connection, or says something on it, just before it is picked: it is not used.
void ARestingConnectionThatHasEndedIsNotPicked() {
  for (const int how : {0, 1, 2}) {
    PoolWorld w;
    FileDescriptor fd = w.Called(1);
    Say(fd, kGood);
    assert(w.Back(1) == Outcome::kOk);
    if (how == 0) fd = FileDescriptor();
    if (how == 1) Reset(fd);
    if (how == 2) Say(fd, "HTTP/1.1 20");
    w.Call(2);  // before the loop has told of it
    FileDescriptor next = w.Accepted();
    w.Hears(next);
    Say(next, kGood);
    assert(w.Back(2) == Outcome::kOk);
  }
}

// It ends the connection just after: what was written may have run, whether it was read there or not.
void ARestingConnectionThatEndsUnderACallIsAReset() {
  for (const bool read : {false, true}) {
    PoolWorld w;
    FileDescriptor fd = w.Called(1);
    Say(fd, kGood);
    assert(w.Back(1) == Outcome::kOk);
    w.Call(2);
    if (read) assert(Heard(fd).starts_with("POST"));
    fd = FileDescriptor();
    assert(w.Back(2) == Outcome::kReset);
  }
}

// Breaks amid an answer, at once and after other calls have come and gone.
void WhatBreaksUnderACallIsClassedByWhatWasSaid() {
  const std::tuple<const char*, Outcome> table[] = {{"", Outcome::kReset},
                                                    {"HTTP/1.1 200", Outcome::kReset},
                                                    {"HTTP/1.1 200 OK\r\nContent-Le", Outcome::kOk},
                                                    {"HTTP/1.1 503 Fu", Outcome::kReset},
                                                    {"HTTP/1.1 500 Oops\r\n", Outcome::kReset}};
  for (const auto& [said, outcome] : table) {
    for (const bool later : {false, true}) {
      PoolWorld w;
      FileDescriptor fd = w.Called(1);
      Say(fd, said);
      if (later) {
        FileDescriptor second = w.Called(2);
        Say(second, kGood);
        assert(w.Back(2) == Outcome::kOk);
      }
      Reset(fd);
      assert(w.Back(1) == outcome);
    }
  }
}

// The answer is there, or on its way, when the call is given up: its wait is heard, and nothing else of it.
// The other side may have given the call up as well, and count no delivery: a message that was taken for
// delivered would have no end. What comes later is nobody else's. One result in each case.
void AnAnswerThatCrossesItsTimeOutIsHeard() {
  PoolWorld w;
  for (const std::uint64_t number : {11, 12}) {
    FileDescriptor fd = w.Called(number);
    const std::string wait = "HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 400\r\nContent-Length: 0\r\n\r\n";
    if (number == 11) Say(fd, wait);
    w.pool.CancelCall(number);
    std::string end = "-";
    if (number == 12) {  // written when the partner hears that it was given up
      Until(w.loop, [&] { return ::recv(fd.get(), end.data(), 1, MSG_DONTWAIT) == 0; });
      Say(fd, wait);
    }
    assert(w.Back(number) == Outcome::kCancelled && w.told_wait == 400ms);
  }
  for (const std::uint64_t number : {13, 14}) {
    FileDescriptor fd = w.Called(number);
    if (number == 13) Say(fd, kGood);
    if (number == 14) Say(fd, "HTTP/1.1 200 OK\r\nContent-");
    w.pool.CancelCall(number);
    assert(w.Back(number) == Outcome::kCancelled);
  }
  {  // its first line was read before, as another call shows that came and went since
    FileDescriptor fd = w.Called(15);
    Say(fd, "HTTP/1.1 200 OK\r\nContent-");
    FileDescriptor other = w.Called(16);
    Say(other, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(w.Back(16) == Outcome::kOk);
    w.pool.CancelCall(15);
    assert(w.Back(15) == Outcome::kOk);
  }
  FileDescriptor fd = w.Called(1);
  w.pool.CancelCall(1);
  w.pool.CancelCall(1);
  FileDescriptor second = w.Called(2);
  assert(w.Back(1) == Outcome::kCancelled);
  Say(second, kGood);
  assert(w.Back(2) == Outcome::kOk);
  w.Call(3, 50ms);
  w.Hears(second);
  assert(w.Back(3) == Outcome::kTimeout);
  assert(::send(second.get(), kGood.data(), kGood.size(), MSG_NOSIGNAL) > 0 || errno == EPIPE);
  FileDescriptor third = w.Called(4);
  assert(!w.back.contains(4));
  Say(third, kGood);
  assert(w.Back(4) == Outcome::kOk && w.back.size() == 10);
}

// A call whose connection comes up late leaves no byte once the time in which it may be written is over, or
// its endpoint was told to drain or to be gone; else it goes, however late.
void ACallThatIsDialledLateIsWrittenOnlyWhileItMay() {
  for (const int how : {0, 1, 2, 3}) {
    PoolWorld w;
    w.partner.Shut();
    w.Call(1, 5s, how == 0 ? std::optional<Duration>(300ms) : std::nullopt);
    RunFor(w.loop, 1ms);  // the dial has begun
    if (how == 1) w.Tell(EndpointRecord::State::kDraining);
    if (how == 2) w.pool.RemoveEndpoint("s");
    if (how < 3) assert(w.Back(1) == Outcome::kNotSent);
    w.partner.Open();
    if (how < 3) continue;
    FileDescriptor fd = w.Accepted();  // as the system dials again, a second after the first time
    w.Hears(fd);
    Say(fd, kGood);
    assert(w.Back(1) == Outcome::kOk);
  }
}

// The same through the whole chain: the retry of a keyed message is being dialled when its window ends. It
// was two short days in fifty seeds, one of them chosen 7,233 ms after the first attempt, written at 8,233
// ms.
void ARepeatIsNotWrittenOnceItsWindowIsOver() {
  Partner partner;
  World w;
  w.ports[0] = partner.port();
  w.repeat_window_ms = 600;
  w.Start();
  w.Post("pedido", "late");
  FileDescriptor fd;
  Until(w.loop, [&] { return (fd = FileDescriptor(partner.Accept())).get() >= 0; });
  std::string heard;
  Until(w.loop, [&] { return (heard += Heard(fd)).find("X-Request-Id: late\r\n") != heard.npos; });
  const auto first = std::chrono::steady_clock::now();
  partner.Shut();
  Reset(fd);  // it may have run: the retry waits for its connection
  Until(w.loop, [&] { return std::chrono::steady_clock::now() > first + 650ms; });
  partner.Open();
  std::string second;
  Until(w.loop, [&] {
    if (fd.get() < 0) fd = FileDescriptor(partner.Accept());
    if (fd.get() >= 0) second += Heard(fd);
    return !second.empty() || w.agent.Told("\"late\"");
  });
  assert(second.empty());
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  WhatComesBeforeTheCallIsNoDelivery();
  ARestingConnectionThatHasEndedIsNotPicked();
  ARestingConnectionThatEndsUnderACallIsAReset();
  WhatBreaksUnderACallIsClassedByWhatWasSaid();
  AnAnswerThatCrossesItsTimeOutIsHeard();
  ACallThatIsDialledLateIsWrittenOnlyWhileItMay();
  ARepeatIsNotWrittenOnceItsWindowIsOver();
  std::puts("7 passed, 0 failed");
}
