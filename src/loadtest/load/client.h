// The HTTP/1.1 client connections of one sending thread: one request at a time on each, kept alive and
// reused. Lives on one event loop; not thread-safe.
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

struct Reply {
  int code = 0;              // HTTP status; 0: no response
  bool timed_out = false;    // without a response: the timeout passed, rather than the connection broke
  double retry_after_s = 0;  // 0: none
};

class ClientConnection;

class HttpClientPool {
 public:
  using ResponseHandler = std::function<void(const Reply&)>;

  // `max_connections`: at once, spread evenly over `targets`. `response_timeout`: 0 for none.
  HttpClientPool(EventLoop& loop, const std::vector<Address>& targets, int max_connections,
                 Duration response_timeout);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Whether all connections are in use.
  bool busy() const {
    return idle_connections_.empty() && static_cast<int>(connections_.size()) >= max_connections_;
  }

  // Sends a request on an idle or new connection; must not be called while busy(). `on_response` is called
  // exactly once, never from within Send.
  void Send(std::string request, ResponseHandler on_response);

  // Called whenever a connection has become idle or was closed.
  std::function<void()> on_connection_free;

  std::int64_t opened_connections() const { return opened_connections_; }
  // Requests that crossed the close of an idle connection, and were sent once more on a new one.
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
  std::vector<std::unique_ptr<ClientConnection>> closed_connections_;  // until their callbacks have returned
  std::vector<ClientConnection*> idle_connections_;
  Timer cleanup_timer_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_CLIENT_H_
