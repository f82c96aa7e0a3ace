// A base class for test servers that receive the bytes of each connection as they arrive, and may send any
// bytes. Used on the event loop's thread only.
#ifndef SAGETALLY_TESTS_APP_RAW_SERVER_H_
#define SAGETALLY_TESTS_APP_RAW_SERVER_H_

#include <string>
#include <vector>

#include "http_test_clients.h"
#include "loopback.h"

namespace sagetally {

// Listens on a free port of the loopback interface.
class RawServer {
 public:
  explicit RawServer(EventLoop& loop)
      : loop_(loop), listener_(ListenOnLoopback(loop, OnAccepted, this, port)) {}
  virtual ~RawServer() = default;
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t port = 0;  // on which it listens

 protected:
  EventLoop& loop() { return loop_; }
  // Sends `text` on a connection.
  static void Write(bufferevent* connection, const std::string& text) {
    bufferevent_write(connection, text.data(), text.size());
  }
  // Returns the value of the header X-Request-Id, which the request must have.
  static std::string RequestId(const std::string& request) {
    constexpr char kHeader[] = "X-Request-Id: ";
    const std::size_t start = request.find(kHeader) + sizeof kHeader - 1;
    return request.substr(start, request.find('\r', start) - start);
  }

 private:
  // Called for each new connection.
  virtual void OnConnected(bufferevent*) {}
  // `text` holds all bytes that have arrived since the last call.
  virtual void OnText(bufferevent* connection, const std::string& text) = 0;
  // Called once when the peer has closed a connection, or after an error of it.
  virtual void OnClosed(bufferevent*) {}

  static void OnAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* server = static_cast<RawServer*>(self);
    bufferevent* connection = bufferevent_socket_new(server->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    server->connections_.emplace_back(connection);
    server->OnConnected(connection);
    bufferevent_setcb(connection, OnReadable, nullptr, OnEvent, server);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
  }
  static void OnReadable(bufferevent* connection, void* self) {
    static_cast<RawServer*>(self)->OnText(connection, DrainInput(connection));
  }
  static void OnEvent(bufferevent* connection, short events, void* self) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
    bufferevent_setcb(connection, nullptr, nullptr, nullptr, nullptr);  // so that OnClosed() is called once
    static_cast<RawServer*>(self)->OnClosed(connection);
  }

  EventLoop& loop_;
  // Closed connections too, so that the address of each remains unique while the server exists.
  std::vector<BufferEventPtr> connections_;
  ListenerPtr listener_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_RAW_SERVER_H_
