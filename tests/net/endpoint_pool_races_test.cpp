// Races at the endpoint pool: two events that happen before the pool learns of either.
#include "../app/world.h"
#include "raw_socket.h"

namespace sagetally {
namespace {

const std::string kOkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// A listening socket whose accept queue holds one connection: while that place is taken, no other comes up.
class RawEndpoint {
 public:
  RawEndpoint() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    assert(::bind(listener_.get(), reinterpret_cast<sockaddr*>(&address_), sizeof address_) == 0);
    assert(::listen(listener_.get(), 0) == 0);
    socklen_t size = sizeof address_;
    getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address_), &size);
  }
  std::uint16_t port() const { return ntohs(address_.sin_port); }
  // From now on connections wait to come up, until ResumeConnects().
  void StallConnects() { blocker_ = ConnectToLoopback(port()); }
  void ResumeConnects() {
    const FileDescriptor first(Accept());
    assert(first.get() >= 0);
    blocker_ = FileDescriptor();
  }
  // -1: none has come.
  int Accept() { return ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK); }

 private:
  sockaddr_in address_ = LoopbackAddress(0);
  FileDescriptor listener_;
  FileDescriptor blocker_;  // holds the place in the queue
};

void MustSend(const FileDescriptor& fd, const std::string& text) { assert(SendAll(fd, text)); }

// What has come; empty if nothing has, or the other side has ended.
std::string Receive(const FileDescriptor& fd) {
  char text[kRawReadBytes];
  const ssize_t size = ::recv(fd.get(), text, sizeof text, MSG_DONTWAIT);
  return size > 0 ? std::string(text, static_cast<std::size_t>(size)) : "";
}

// A pool with one endpoint, and the outcomes of its calls: one for each, or the test fails.
struct PoolFixture {
  PoolFixture() {
    std::signal(SIGPIPE, SIG_IGN);
    SetState(EndpointRecord::State::kUp);
    request.id = "a";
  }
  void SetState(EndpointRecord::State state) {
    EndpointUpdate update;
    update.record.endpoint = "s";
    update.record.state = state;
    update.address = At(endpoint.port());
    pool.UpdateEndpoint(update);
  }
  void Call(std::uint64_t number, Duration timeout = 5s, std::optional<Duration> write_within = {}) {
    pool.StartCall({number, &request, "s", timeout, write_within});
  }
  FileDescriptor WaitForConnection() {
    FileDescriptor fd;
    RunUntil(loop, [&] { return (fd = FileDescriptor(endpoint.Accept())).get() >= 0; });
    return fd;
  }
  FileDescriptor CallOnNewConnection(std::uint64_t number) {
    Call(number);
    FileDescriptor fd = WaitForConnection();
    WaitForCall(fd);
    return fd;
  }
  void WaitForCall(const FileDescriptor& fd) {
    std::string received;
    RunUntil(loop, [&] { return (received += Receive(fd)).ends_with("\r\n\r\n"); });
    assert(received.starts_with("POST /hook "));
  }
  Outcome WaitForOutcome(std::uint64_t number) {
    RunUntil(loop, [&] { return outcomes.contains(number); });
    return outcomes.at(number);
  }
  EventLoop loop;
  RawEndpoint endpoint;
  std::map<std::uint64_t, Outcome> outcomes;
  Duration last_retry_after{0};  // in the last result
  EndpointPool pool{loop, {1500ms, 15s, 8, 8}, [this](const CallResult& result) {
                      assert(outcomes.emplace(result.message_number, result.outcome).second);
                      last_retry_after = result.retry_after;
                    }};
  Request request;
};

// A response that no call has asked for would count a message as delivered that never left.
void BytesBeforeTheCallAreNoDelivery() {
  PoolFixture fixture;
  fixture.Call(1);
  FileDescriptor fd(fixture.endpoint.Accept());  // connected, and the pool does not know it yet
  assert(fd.get() >= 0);
  MustSend(fd, kOkResponse);
  assert(fixture.WaitForOutcome(1) == Outcome::kConnectFailed && Receive(fd).empty());
  fixture.Call(2);
  fd = FileDescriptor(fixture.endpoint.Accept());
  // An endpoint that takes no further connection need not read a call.
  MustSend(fd, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  assert(fixture.WaitForOutcome(2) == Outcome::kRejected && Receive(fd).empty());
  fixture.Call(3);
  fd = FileDescriptor(fixture.endpoint.Accept());
  MustSend(fd, "HTTP/1.1 200");  // half a line, and then nothing
  fd = FileDescriptor();
  assert(fixture.WaitForOutcome(3) == Outcome::kConnectFailed);
}

// The endpoint ends an idle connection, or sends something on it, just before it would be used.
void AnIdleConnectionThatHasEndedIsNotUsed() {
  enum class Change { kClosed, kReset, kBytes };
  for (const Change change : {Change::kClosed, Change::kReset, Change::kBytes}) {
    PoolFixture fixture;
    FileDescriptor fd = fixture.CallOnNewConnection(1);
    MustSend(fd, kOkResponse);
    assert(fixture.WaitForOutcome(1) == Outcome::kOk);
    if (change == Change::kClosed) fd = FileDescriptor();
    if (change == Change::kReset) ResetConnection(fd);
    if (change == Change::kBytes) MustSend(fd, "HTTP/1.1 20");
    fixture.Call(2);  // before the pool knows
    FileDescriptor next = fixture.WaitForConnection();
    fixture.WaitForCall(next);
    MustSend(next, kOkResponse);
    assert(fixture.WaitForOutcome(2) == Outcome::kOk);
  }
}

// It ends the connection just after: the call may have run, whether it was read there or not.
void AnIdleConnectionThatEndsDuringACallIsAReset() {
  for (const bool read : {false, true}) {
    PoolFixture fixture;
    FileDescriptor fd = fixture.CallOnNewConnection(1);
    MustSend(fd, kOkResponse);
    assert(fixture.WaitForOutcome(1) == Outcome::kOk);
    fixture.Call(2);
    if (read) assert(Receive(fd).starts_with("POST"));
    fd = FileDescriptor();
    assert(fixture.WaitForOutcome(2) == Outcome::kReset);
  }
}

// The connection breaks within a response, at once and after other calls have come and gone.
void ABrokenResponseIsClassifiedByItsStatusLine() {
  struct Case {
    const char* response;
    Outcome outcome;
  };
  const Case cases[] = {{"", Outcome::kReset},
                        {"HTTP/1.1 200", Outcome::kReset},
                        {"HTTP/1.1 200 OK\r\nContent-Le", Outcome::kOk},
                        {"HTTP/1.1 503 Fu", Outcome::kReset},
                        {"HTTP/1.1 500 Oops\r\n", Outcome::kReset}};
  for (const auto& [response, outcome] : cases) {
    for (const bool later : {false, true}) {
      PoolFixture fixture;
      FileDescriptor fd = fixture.CallOnNewConnection(1);
      MustSend(fd, response);
      if (later) {
        FileDescriptor second = fixture.CallOnNewConnection(2);
        MustSend(second, kOkResponse);
        assert(fixture.WaitForOutcome(2) == Outcome::kOk);
      }
      ResetConnection(fd);
      assert(fixture.WaitForOutcome(1) == outcome);
    }
  }
}

// The response is there, or on its way, when the call is abandoned: its Retry-After counts, and nothing else
// of it. The endpoint may have given the call up as well and count no delivery, so a message that was taken
// for delivered would be lost. What comes later belongs to no other call. One result in each case.
void AnAbandonedCallStillReadsItsRetryAfter() {
  PoolFixture fixture;
  for (const std::uint64_t number : {11, 12}) {
    FileDescriptor fd = fixture.CallOnNewConnection(number);
    const std::string wait = "HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 400\r\nContent-Length: 0\r\n\r\n";
    if (number == 11) MustSend(fd, wait);
    fixture.pool.CancelCall(number);
    std::string end = "-";
    if (number == 12) {  // written when the endpoint sees that the call was abandoned
      RunUntil(fixture.loop, [&] { return ::recv(fd.get(), end.data(), 1, MSG_DONTWAIT) == 0; });
      MustSend(fd, wait);
    }
    assert(fixture.WaitForOutcome(number) == Outcome::kCancelled && fixture.last_retry_after == 400ms);
  }
  for (const std::uint64_t number : {13, 14}) {
    FileDescriptor fd = fixture.CallOnNewConnection(number);
    if (number == 13) MustSend(fd, kOkResponse);
    if (number == 14) MustSend(fd, "HTTP/1.1 200 OK\r\nContent-");
    fixture.pool.CancelCall(number);
    assert(fixture.WaitForOutcome(number) == Outcome::kCancelled);
  }
  {  // its first line was read before, as another call shows that came and went since
    FileDescriptor fd = fixture.CallOnNewConnection(15);
    MustSend(fd, "HTTP/1.1 200 OK\r\nContent-");
    FileDescriptor other = fixture.CallOnNewConnection(16);
    MustSend(other, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(fixture.WaitForOutcome(16) == Outcome::kOk);
    fixture.pool.CancelCall(15);
    assert(fixture.WaitForOutcome(15) == Outcome::kOk);
  }
  FileDescriptor fd = fixture.CallOnNewConnection(1);
  fixture.pool.CancelCall(1);
  fixture.pool.CancelCall(1);
  FileDescriptor second = fixture.CallOnNewConnection(2);
  assert(fixture.WaitForOutcome(1) == Outcome::kCancelled);
  MustSend(second, kOkResponse);
  assert(fixture.WaitForOutcome(2) == Outcome::kOk);
  fixture.Call(3, 50ms);
  fixture.WaitForCall(second);
  assert(fixture.WaitForOutcome(3) == Outcome::kTimeout);
  assert(::send(second.get(), kOkResponse.data(), kOkResponse.size(), MSG_NOSIGNAL) > 0 || errno == EPIPE);
  FileDescriptor third = fixture.CallOnNewConnection(4);
  assert(!fixture.outcomes.contains(4));
  MustSend(third, kOkResponse);
  assert(fixture.WaitForOutcome(4) == Outcome::kOk && fixture.outcomes.size() == 10);
}

// A call whose connection comes up late sends no byte once the time in which it may be written is over, or
// its endpoint drains or was removed; else it is sent, however late.
void ACallThatConnectsLateIsWrittenOnlyWhileAllowed() {
  enum class Change { kWriteDeadline, kDraining, kRemoved, kNone };
  for (const Change change : {Change::kWriteDeadline, Change::kDraining, Change::kRemoved, Change::kNone}) {
    PoolFixture fixture;
    fixture.endpoint.StallConnects();
    fixture.Call(1, 5s, change == Change::kWriteDeadline ? std::optional<Duration>(300ms) : std::nullopt);
    RunFor(fixture.loop, 1ms);  // it has begun to connect
    if (change == Change::kDraining) fixture.SetState(EndpointRecord::State::kDraining);
    if (change == Change::kRemoved) fixture.pool.RemoveEndpoint("s");
    if (change != Change::kNone) assert(fixture.WaitForOutcome(1) == Outcome::kNotSent);
    fixture.endpoint.ResumeConnects();
    if (change != Change::kNone) continue;
    FileDescriptor fd =
        fixture.WaitForConnection();  // as the system connects again, a second after the first time
    fixture.WaitForCall(fd);
    MustSend(fd, kOkResponse);
    assert(fixture.WaitForOutcome(1) == Outcome::kOk);
  }
}

// The same through the whole dispatcher: the retry of a message with an idempotency key is still connecting
// when its window ends. In the simulator, two runs in fifty broke the rule, one of them with a retry chosen
// 7,233 ms after the first attempt and written at 8,233 ms.
void ARetryIsNotWrittenAfterItsDeduplicationWindow() {
  RawEndpoint endpoint;
  World world;
  world.ports[0] = endpoint.port();
  world.repeat_window_ms = 600;
  world.Start();
  world.Post("pedido", "late");
  FileDescriptor fd;
  RunUntil(world.loop, [&] { return (fd = FileDescriptor(endpoint.Accept())).get() >= 0; });
  std::string received;
  RunUntil(world.loop,
           [&] { return (received += Receive(fd)).find("X-Request-Id: late\r\n") != received.npos; });
  const auto first = std::chrono::steady_clock::now();
  endpoint.StallConnects();
  ResetConnection(fd);  // it may have run: the retry waits for its connection
  RunUntil(world.loop, [&] { return std::chrono::steady_clock::now() > first + 650ms; });
  endpoint.ResumeConnects();
  std::string second;
  RunUntil(world.loop, [&] {
    if (fd.get() < 0) fd = FileDescriptor(endpoint.Accept());
    if (fd.get() >= 0) second += Receive(fd);
    return !second.empty() || world.agent.HasNotice("\"late\"");
  });
  assert(second.empty());
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  BytesBeforeTheCallAreNoDelivery();
  AnIdleConnectionThatHasEndedIsNotUsed();
  AnIdleConnectionThatEndsDuringACallIsAReset();
  ABrokenResponseIsClassifiedByItsStatusLine();
  AnAbandonedCallStillReadsItsRetryAfter();
  ACallThatConnectsLateIsWrittenOnlyWhileAllowed();
  ARetryIsNotWrittenAfterItsDeduplicationWindow();
  std::puts("7 passed, 0 failed");
}
