// A server on a Unix socket for operators on the same machine: one request a line, one answer a line.
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

// On the event loop's thread, the handler too.
class ControlServer {
 public:
  static constexpr std::size_t kMaxConnections = 8;
  // Sends the answer, without its line's end. Only the first call counts; the client may have gone.
  using Responder = std::function<void(std::string line)>;
  // Handles a request, without its line's end. A connection's next request waits for the answer.
  using Handler = std::function<void(std::string_view line, Responder respond)>;

  // Creates the socket with mode 0600, in place of one that a process left behind. Throws ListenError.
  ControlServer(EventLoop& loop, std::string path, std::size_t max_request_bytes, Handler handler);
  // Removes the socket.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  struct Client;

  static void OnAccepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void OnReadable(bufferevent*, void* client);
  static void OnEvent(bufferevent*, short events, void* client);
  void ReadRequest(Client& client);
  static void Respond(Client& client, std::string answer);
  void Close(Client& client);

  EventLoop& loop_;
  const std::string path_;
  const std::size_t max_request_bytes_;
  Handler handler_;
  EventListenerPtr listener_;
  std::map<Client*, std::shared_ptr<Client>> clients_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_CONTROL_SERVER_H_
