// Single HTTP requests to other processes, each on a connection of its own and sent once.
#ifndef SAGETALLY_SRC_NET_HTTP_CLIENT_H_
#define SAGETALLY_SRC_NET_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "config/config.h"
#include "net/deferred_deleter.h"
#include "net/event_loop.h"
#include "net/http_headers.h"

namespace sagetally {

struct HttpResult {
  int status_code = 0;           // 0: no response
  bool request_written = false;  // the whole request was written: the peer may have read it
  std::string body = {};
  HttpHeaders headers = {};
};

// On the event loop's thread. Its destructor drops the requests that are in flight without a result.
class HttpClient {
 public:
  using ResultCallback = std::function<void(const HttpResult&)>;

  explicit HttpClient(EventLoop& loop);
  ~HttpClient();

  // `done` is called once: with the response, or with status code 0 if there is none within `timeout`.
  void Send(const Address& address, evhttp_cmd_type method, const std::string& path,
            const HttpHeaders& headers, const std::string& body, Duration timeout, ResultCallback done);

 private:
  class PendingCall;

  EventLoop& loop_;
  std::map<PendingCall*, std::unique_ptr<PendingCall>> pending_calls_;
  DeferredDeleter<PendingCall> finished_calls_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_CLIENT_H_
