// Sends HTTP requests to other processes. Each request has a connection of its own and is sent at most once.
#ifndef SAGETALLY_SRC_NET_HTTP_CLIENT_H_
#define SAGETALLY_SRC_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "config/config.h"
#include "net/deferred_deleter.h"
#include "net/event_loop.h"
#include "net/http_headers.h"

namespace sagetally {

// The response to a request, or its failure.
struct HttpResult {
  int status_code = 0;           // 0 if there was no response
  bool is_timeout = false;       // there was no response in time
  bool request_written = false;  // the whole request was written, so the peer may have read it
  std::string body = {};
  HttpHeaders headers = {};
};

// Owns the requests in flight and their connections. Used on the event loop's thread. The destructor cancels
// the requests in flight without reporting a result.
class HttpClient {
 public:
  using ResultCallback = std::function<void(const HttpResult&)>;

  // Enough for a registry's list of all applications.
  static constexpr std::size_t kDefaultMaxResponseBytes = 64 * 1024 * 1024;

  // A response with a longer body counts as none.
  explicit HttpClient(EventLoop& loop, std::size_t max_response_bytes = kDefaultMaxResponseBytes);
  ~HttpClient();

  // Sends a request and calls `on_result` once: with the response, or with status code 0 if there is none
  // within `timeout`. Adds the headers Host and "Connection: close".
  void Send(const Address& address, evhttp_cmd_type method, const std::string& path,
            const HttpHeaders& headers, const std::string& body, Duration timeout, ResultCallback on_result);

 private:
  class PendingCall;

  EventLoop& loop_;
  const std::size_t max_response_bytes_;
  std::map<PendingCall*, std::unique_ptr<PendingCall>> pending_calls_;
  DeferredDeleter<PendingCall> finished_calls_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_CLIENT_H_
