// A server for tests that gets the bytes of each connection as they come and answers with any bytes.
#ifndef SAGETALLY_TESTS_APP_RAW_SERVER_H_
#define SAGETALLY_TESTS_APP_RAW_SERVER_H_

#include <string>
#include <vector>

#include "http_test_clients.h"
#include "loopback.h"

namespace sagetally {

class RawServer {
 public:
  explicit RawServer(EventLoop& loop)
      : loop_(loop), listener_(ListenOnLoopback(loop, OnAccepted, this, port)) {}
  virtual ~RawServer() = default;
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t port = 0;

 protected:
  EventLoop& loop() { return loop_; }
  static void Write(bufferevent* connection, const std::string& text) {
    bufferevent_write(connection, text.data(), text.size());
  }
  // The X-Request-Id of a request.
  static std::string RequestId(const std::string& request) {
    constexpr char kHeader[] = "X-Request-Id: ";
    const std::size_t start = request.find(kHeader) + sizeof kHeader - 1;
    return request.substr(start, request.find('\r', start) - start);
  }

 private:
  virtual void OnConnected(bufferevent*) {}
  // `text`: all bytes that have come since the last call.
  virtual void OnText(bufferevent* connection, const std::string& text) = 0;
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
    bufferevent_setcb(connection, nullptr, nullptr, nullptr, nullptr);  // once
    static_cast<RawServer*>(self)->OnClosed(connection);
  }

  EventLoop& loop_;
  std::vector<BufferEventPtr>
      connections_;  // until the server goes, so that their addresses are not used again
  ListenerPtr listener_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_RAW_SERVER_H_
