// Single HTTP requests to other processes, each on a connection of its own and sent once.
#ifndef SAGETALLY_SRC_NET_HTTP_CLIENT_H_
#define SAGETALLY_SRC_NET_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

struct HttpResult {
  int status_code = 0;           // 0: no answer
  bool request_written = false;  // the whole request went out: it may have been read
  std::string body = {};
  std::vector<std::pair<std::string, std::string>> headers = {};
};

class HttpClient {
 public:
  using Done = std::function<void(const HttpResult&)>;
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();

  void Send(const Address& to, evhttp_cmd_type method, const std::string& path,
            const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body,
            Duration time_out, Done done);

 private:
  class PendingCall;

  EventLoop& loop_;
  std::map<PendingCall*, std::unique_ptr<PendingCall>> out_;
  std::vector<std::unique_ptr<PendingCall>> over_;  // freed once libevent is out of them
  Timer sweep_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_CLIENT_H_
