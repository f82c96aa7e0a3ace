// An endpoint pool with one raw endpoint, for tests that control when each byte of a response is sent. Used
// on the event loop's thread only.
#ifndef SAGETALLY_TESTS_NET_ENDPOINT_POOL_FIXTURE_H_
#define SAGETALLY_TESTS_NET_ENDPOINT_POOL_FIXTURE_H_

#include "../app/world.h"
#include "raw_socket.h"

namespace sagetally {

inline const std::string kOkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// A listening socket whose accept queue holds one connection. While the queue is full, no further connection
// is established.
class RawEndpoint {
 public:
  RawEndpoint() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    assert(::bind(listener_.get(), reinterpret_cast<sockaddr*>(&address_), sizeof address_) == 0);
    assert(::listen(listener_.get(), 0) == 0);
    socklen_t size = sizeof address_;
    getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address_), &size);
  }
  std::uint16_t port() const { return ntohs(address_.sin_port); }
  // Fills the accept queue, so that new connections are not established until ResumeConnects().
  void StallConnects() { blocker_ = ConnectToLoopback(port()); }
  void ResumeConnects() {
    const FileDescriptor first(Accept());
    assert(first.get() >= 0);
    blocker_ = FileDescriptor();
  }
  // Returns the descriptor of the next connection, or -1 if there is none.
  int Accept() { return ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK); }

 private:
  sockaddr_in address_ = LoopbackAddress(0);
  FileDescriptor listener_;
  FileDescriptor blocker_;  // the connection that fills the queue
};

inline void MustSend(const FileDescriptor& fd, const std::string& text) { assert(SendAll(fd, text)); }

// Returns the bytes that have arrived, or an empty string if there are none or the peer has closed.
inline std::string Receive(const FileDescriptor& fd) {
  char text[kRawReadBytes];
  const ssize_t size = ::recv(fd.get(), text, sizeof text, MSG_DONTWAIT);
  return size > 0 ? std::string(text, static_cast<std::size_t>(size)) : "";
}

// A pool with one endpoint, and the outcomes of its calls. Asserts that each call has only one outcome.
struct PoolFixture {
  PoolFixture() {
    std::signal(SIGPIPE, SIG_IGN);
    SetState(EndpointRecord::State::kUp);
    request.id = "a";
    pool.on_provisional_result = [this](const CallResult& result) {
      provisional_outcomes[result.message_number] = result.outcome;
    };
  }
  void SetState(EndpointRecord::State state) { SetState(state, endpoint.port()); }
  void SetState(EndpointRecord::State state, std::uint16_t port) {
    EndpointUpdate update;
    update.record.endpoint = "s";
    update.record.state = state;
    update.address = At(port);
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
  // Waits until the connections that are idle now may carry another call.
  void AwaitSettling() { RunFor(loop, 2 * kSettlingTime); }
  Outcome WaitForOutcome(std::uint64_t number) {
    RunUntil(loop, [&] { return outcomes.contains(number); });
    return outcomes.at(number);
  }
  // Waits until the call has a response, which need not be its final outcome, and returns that.
  Outcome WaitForResponse(std::uint64_t number) {
    RunUntil(loop, [&] { return outcomes.contains(number) || provisional_outcomes.contains(number); });
    return outcomes.contains(number) ? outcomes.at(number) : provisional_outcomes.at(number);
  }
  EventLoop loop;
  RawEndpoint endpoint;
  std::map<std::uint64_t, Outcome> outcomes;
  std::map<std::uint64_t, Outcome> provisional_outcomes;
  Duration last_retry_after{0};  // in the last result
  EndpointPool pool{loop, {1500ms, 15s, 8, 8}, [this](const CallResult& result) {
                      assert(outcomes.emplace(result.message_number, result.outcome).second);
                      last_retry_after = result.retry_after;
                    }};
  Request request;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_NET_ENDPOINT_POOL_FIXTURE_H_
