// An HTTP listener: hands each request to the handler, and keeps watch over every connection from its accept
// on: how many there are, how long a request may take to come, and how long one may stand idle.
#ifndef SAGETALLY_SRC_NET_HTTP_SERVER_H_
#define SAGETALLY_SRC_NET_HTTP_SERVER_H_

#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/file_descriptor.h"
#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

class ServerConnection;

// One request of a client, until it is answered.
class Exchange {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;
  Exchange(ServerConnection* client, std::string method, std::string path, Headers headers, std::string body)
      : client_(client),
        method_(std::move(method)),
        path_(std::move(path)),
        headers_(std::move(headers)),
        body_(std::move(body)) {}
  const std::string& method() const { return method_; }
  const std::string& path() const { return path_; }
  // Empty if absent.
  std::string Header(const char* name) const;
  const Headers& headers() const { return headers_; }
  const std::string& body() const { return body_; }
  // Answered, or its connection has broken; nothing can be answered any more.
  bool client_gone() const { return client_ == nullptr; }
  // At most once. False if the client has gone.
  bool Respond(int code, const std::string& body = "", const Headers& headers = {});

 private:
  friend class ServerConnection;
  ServerConnection* client_;
  std::string method_, path_;
  Headers headers_;
  std::string body_;
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  struct HttpServerLimits {
    std::size_t body = 64 * 1024;  // of one request
    std::size_t connections = 64;  // at once
    std::size_t head = 16 * 1024;  // of one request
  };
  // A connection that goes to another process: between requests, or amid one of which these bytes have come.
  struct ClientToTransfer {
    int fd = -1;  // still this process's
    bool has_sent_requests = false;
    Duration age{0};  // since it was accepted, or last answered
    std::string bytes = {};
  };
  struct TransferredClient {
    FileDescriptor fd = FileDescriptor();
    bool has_sent_requests = false;
    Duration age{0};
    std::string bytes = {};
  };
  // `inherited`: a listening socket of another process, used if it listens at that address. Throws
  // std::runtime_error if it can't listen.
  HttpServer(EventLoop& loop, const Address& at, HttpServerLimits limits, Handler handler,
             FileDescriptor inherited = FileDescriptor());
  ~HttpServer();

  std::uint16_t port() const { return port_; }
  std::size_t connections() const { return clients_.size(); }
  // Every answer from now on ends its connection, and idle connections are closed; `mute_too`: also those
  // that have never asked.
  void CloseBetweenRequests(bool mute_too = false);
  // Every answer from now on ends its connection, or no longer does.
  void SetClosing(bool closing) { closing_ = closing; }
  void StopListening();
  std::function<void()> on_closed;  // after each connection; may be empty
  int listener() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
  // No answer is owed to a client, or still to be written.
  bool IsSettled() const;
  // All that can be passed on: no answer is owed there, and none is still to be written.
  std::vector<ClientToTransfer> ClientsToTransfer() const;
  // They have been passed on, and the listener too: closes this process's own descriptors of them.
  void ReleaseAll();
  void Adopt(TransferredClient client);

 private:
  friend class ServerConnection;
  static void Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  static void NotAccepted(evconnlistener*, void* self);
  bool MakeRoom();
  enum class Ending { kClosed, kPassed };  // passed: another process reads and writes there now
  void Close(ServerConnection& client, Ending ending = Ending::kClosed);

  EventLoop& loop_;
  const HttpServerLimits limits_;
  Handler handler_;
  std::unique_ptr<evconnlistener, Free<evconnlistener_free>> listener_;
  std::uint16_t port_ = 0;
  bool closing_ = false;
  std::map<ServerConnection*, std::unique_ptr<ServerConnection>> clients_;
  std::vector<std::unique_ptr<ServerConnection>> closed_;  // freed once libevent is out of them
  Timer listen_again_, sweep_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_SERVER_H_
