// Fixture for tests of HttpServer: a server on an event loop of its own, and clients that control when each
// byte is sent and read. The clients run on the loop's thread.
#ifndef SAGETALLY_TESTS_NET_HTTP_SERVER_FIXTURE_H_
#define SAGETALLY_TESTS_NET_HTTP_SERVER_FIXTURE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../app/loopback.h"
#include "net/http_server.h"
#include "raw_socket.h"

namespace sagetally {

inline const std::string kRequest = "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n";

// A client with one connection to the server.
class Client {
 public:
  explicit Client(std::uint16_t port) : socket_(ConnectToLoopback(port)) {}
  bool Send(const std::string& text) { return SendAll(socket_, text); }
  void Reset() { ResetConnection(socket_); }
  // Shuts down the sending side. The server reads the end of the input after the bytes that were sent.
  void EndSending() { ::shutdown(socket_.get(), SHUT_WR); }
  // Returns all bytes received so far.
  const std::string& Received() {
    char text[kRawReadBytes];
    ssize_t size = 0;
    while (!has_ended && !was_reset && (size = ::recv(socket_.get(), text, sizeof text, MSG_DONTWAIT)) > 0) {
      received_.append(text, static_cast<std::size_t>(size));
    }
    if (size == 0 && !has_ended && !was_reset) has_ended = true;
    if (size < 0 && errno != EAGAIN) was_reset = true;
    return received_;
  }
  int ResponseCount() {
    int count = 0;
    for (std::size_t pos = 0; (pos = Received().find("HTTP/1.1 ", pos)) != std::string::npos; ++pos) ++count;
    return count;
  }
  // The server has closed its side without a reset, as found by Received().
  bool has_ended = false;
  // The server has reset the connection, as found by Received().
  bool was_reset = false;

 private:
  FileDescriptor socket_;
  std::string received_;
};

// A server and its clients. The server answers each request with 200 at once. With `defer_responses`, it adds
// the request to `pending_exchanges` instead, for the test to answer.
struct ServerFixture {
  explicit ServerFixture(std::size_t connections = 16)
      : server(loop, {"127.0.0.1", 0}, {1024, connections},
               [this](const std::shared_ptr<Exchange>& exchange) {
                 ++request_count;
                 if (defer_responses) {
                   pending_exchanges.push_back(exchange);
                 } else {
                   exchange->Respond(200, response_body);
                 }
                 if (after_request) after_request();
               }) {}
  // Connects a client, which sends `text`.
  Client& Connect(const std::string& text = "") {
    clients.push_back(std::make_unique<Client>(server.port()));
    assert(clients.back()->Send(text));
    return *clients.back();
  }
  // Connects a client and waits for the response to its request. Its connection is idle then.
  Client& ConnectAnswered() {
    Client& client = Connect(kRequest);
    RunUntil(loop, [&] { return client.ResponseCount() == 1; });
    return client;
  }
  // Waits until the server has closed the client's connection, and asserts that it was not reset.
  void WaitForEnd(Client& client) {
    RunUntil(loop, [&] {
      client.Received();
      return client.has_ended || client.was_reset;
    });
    assert(!client.was_reset);
  }
  EventLoop loop;
  int request_count = 0;
  bool defer_responses = false;
  std::string response_body;
  std::function<void()> after_request;
  std::vector<std::shared_ptr<Exchange>> pending_exchanges;
  std::vector<std::unique_ptr<Client>> clients;
  HttpServer server;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_NET_HTTP_SERVER_FIXTURE_H_
