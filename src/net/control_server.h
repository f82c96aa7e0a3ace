// A listener on a Unix socket for operators on the same machine: one request a line, one answer a line.
#ifndef SAGETALLY_SRC_NET_CONTROL_SERVER_H_
#define SAGETALLY_SRC_NET_CONTROL_SERVER_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"

namespace sagetally {

class ControlServer {
 public:
  static constexpr std::size_t kMostConnections = 8;
  using Responder = std::function<void(std::string line)>;  // at most once; the client may have gone
  using Handler = std::function<void(std::string_view line, Responder answer)>;

  // The socket gets mode 0600; one that a dead process left is replaced. Throws std::runtime_error.
  ControlServer(EventLoop& loop, std::string path, std::size_t most_request, Handler handler);
  ~ControlServer();

 private:
  struct Client;
  static void Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  static void Readable(bufferevent*, void* client);
  static void Happened(bufferevent*, short what, void* client);
  void Next(Client& client);
  void Close(Client& client);

  EventLoop& loop_;
  const std::string path_;
  const std::size_t most_request_;
  Handler handler_;
  std::unique_ptr<evconnlistener, Free<evconnlistener_free>> listener_;
  std::map<Client*, std::shared_ptr<Client>> clients_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_CONTROL_SERVER_H_
