// An HTTP listener: hands each request to the handler of its path and method, and keeps count of the
// connections so that they can be closed between requests.
#ifndef SAGETALLY_SRC_NET_SERVER_H_
#define SAGETALLY_SRC_NET_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "net/loop.h"

namespace sagetally {

// One request of a client, until it is answered.
class Exchange {
 public:
  explicit Exchange(evhttp_request* request) : request_(request) {}
  std::string method() const;
  std::string path() const;
  // Empty if absent.
  std::string Header(const char* name) const;
  std::vector<std::pair<std::string, std::string>> Headers() const;
  std::string body() const;
  // The client closed its connection; nothing can be answered any more.
  bool gone() const { return request_ == nullptr; }
  // At most once. False if the client has gone.
  bool Answer(int code, const std::string& body = "",
              const std::vector<std::pair<std::string, std::string>>& headers = {});

 private:
  friend class Server;
  evhttp_request* request_;
  bool closing_ = false;  // the connection ends with the answer
};

class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  // Throws std::runtime_error if it can't listen.
  Server(Loop& loop, const Address& at, std::size_t most_body, Handler handler);
  ~Server();

  std::uint16_t port() const { return port_; }
  // Every answer from now on ends its connection, and idle connections are closed.
  void CloseBetweenRequests();
  void StopListening();

 private:
  static void Request(evhttp_request* request, void* self);
  static void Closed(evhttp_connection* connection, void* self);

  HttpPtr http_;
  Handler handler_;
  evhttp_bound_socket* bound_ = nullptr;
  std::uint16_t port_ = 0;
  bool closing_ = false;
  std::map<evhttp_connection*, std::weak_ptr<Exchange>> connections_;  // with the request last read there
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SERVER_H_
