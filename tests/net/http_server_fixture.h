// An HttpServer on a loop of its own, and clients that say when each byte is sent and read.
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

class Client {
 public:
  explicit Client(std::uint16_t port) : socket_(ConnectToLoopback(port)) {}
  bool Send(const std::string& text) { return SendAll(socket_, text); }
  void Reset() { ResetConnection(socket_); }
  // The server reads an end of input after what was sent.
  void EndSending() { ::shutdown(socket_.get(), SHUT_WR); }
  // Everything received so far.
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
    for (std::size_t at = 0; (at = Received().find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++count;
    return count;
  }
  bool has_ended = false;  // by the server, in order
  bool was_reset = false;

 private:
  FileDescriptor socket_;
  std::string received_;
};

// A server that answers each request with 200 or, with hold_requests, not yet; and its clients.
struct ServerFixture {
  explicit ServerFixture(std::size_t connections = 16)
      : server(loop, {"127.0.0.1", 0}, {1024, connections},
               [this](const std::shared_ptr<Exchange>& exchange) {
                 ++request_count;
                 if (hold_requests) {
                   held_exchanges.push_back(exchange);
                 } else {
                   exchange->Respond(200, response_body);
                 }
                 if (after_request) after_request();
               }) {}
  Client& Connect(const std::string& text = "") {
    clients.push_back(std::make_unique<Client>(server.port()));
    assert(clients.back()->Send(text));
    return *clients.back();
  }
  // An idle one.
  Client& ConnectAnswered() {
    Client& client = Connect(kRequest);
    RunUntil(loop, [&] { return client.ResponseCount() == 1; });
    return client;
  }
  void WaitForEnd(Client& client) {
    RunUntil(loop, [&] {
      client.Received();
      return client.has_ended || client.was_reset;
    });
    assert(!client.was_reset);
  }
  EventLoop loop;
  int request_count = 0;
  bool hold_requests = false;
  std::string response_body;
  std::function<void()> after_request;
  std::vector<std::shared_ptr<Exchange>> held_exchanges;
  std::vector<std::unique_ptr<Client>> clients;
  HttpServer server;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_NET_HTTP_SERVER_FIXTURE_H_
