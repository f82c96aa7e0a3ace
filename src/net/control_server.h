// A server on a Unix socket for operators on the same machine. Requests and answers are lines of text: each
// request line gets one answer line.
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

// Owns the socket and its connections. Runs on the event loop's thread, as does the handler.
class ControlServer {
 public:
  // Connections open at the same time. Further ones are closed at once.
  static constexpr std::size_t kMaxConnections = 8;
  // Sends the answer `line`, which has no newline at its end. Only the first call has an effect. Does nothing
  // if the client has disconnected; may be called after the server was destroyed.
  using Responder = std::function<void(std::string line)>;
  // Handles a request `line`, which has no newline at its end. The connection's next request is not read
  // before `respond` was called.
  using Handler = std::function<void(std::string_view line, Responder respond)>;

  // Creates the socket at `path` with mode 0600 and replaces one that an earlier process left behind. A
  // connection that sends a longer line than `max_request_bytes` is closed. Throws ListenError.
  ControlServer(EventLoop& loop, std::string path, std::size_t max_request_bytes, Handler handler);
  // Closes all connections and removes the socket.
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
  std::map<Client*, std::shared_ptr<Client>> clients_;  // shared with the responders of pending requests
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_CONTROL_SERVER_H_
