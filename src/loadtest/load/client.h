// A pool of the HTTP/1.1 client connections of one sending thread. Each connection carries one request at a
// time and is kept alive and reused. The pool is not thread-safe: all calls and callbacks run on the thread
// of the event loop.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_CLIENT_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally::loadtest {

// The result of a request.
struct Reply {
  int code = 0;  // HTTP status; 0 if there was no response
  // If there was no response, whether the response timeout passed, rather than the connection was lost.
  bool timed_out = false;
  double retry_after_s = 0;  // value of the header Retry-After in seconds, or 0
};

class ClientConnection;

class HttpClientPool {
 public:
  using ResponseHandler = std::function<void(const Reply&)>;

  // At most `max_connections` are open at once, and new ones are opened to each of the `targets` in turn. A
  // `response_timeout` of 0 means no timeout.
  HttpClientPool(EventLoop& loop, const std::vector<Address>& targets, int max_connections,
                 Duration response_timeout);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Returns whether all connections are in use.
  bool busy() const {
    return idle_connections_.empty() && static_cast<int>(connections_.size()) >= max_connections_;
  }

  // Sends a request on an idle or a new connection. It must not be called while busy(). `on_response` is
  // called exactly once, from the event loop and never from within Send.
  void Send(std::string request, ResponseHandler on_response);

  // Called whenever a connection has become idle or was closed, so that Send may be called again.
  std::function<void()> on_connection_free;

  std::int64_t opened_connections() const { return opened_connections_; }
  // Returns the number of requests that were sent a second time, on a new connection, because the server
  // closed the idle connection while the request was being sent.
  std::int64_t resent_requests() const { return resent_requests_; }

 private:
  friend class ClientConnection;
  ClientConnection* Open();
  void Release(ClientConnection& connection, bool keep_alive);

  EventLoop& loop_;
  const std::vector<Address> targets_;
  const int max_connections_;
  const Duration response_timeout_;
  std::size_t next_target_ = 0;
  std::int64_t opened_connections_ = 0;
  std::int64_t resent_requests_ = 0;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
  // Closed connections, freed after their callbacks have returned.
  std::vector<std::unique_ptr<ClientConnection>> closed_connections_;
  std::vector<ClientConnection*> idle_connections_;
  Timer cleanup_timer_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_CLIENT_H_
