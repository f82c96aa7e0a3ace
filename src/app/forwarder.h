// A forwarder: takes messages from clients and passes each on to the planner of its destination, as
// CloudEvents; the planner's answer is the client's. It holds no message and decides nothing.
#ifndef SAGETALLY_SRC_APP_FORWARDER_H_
#define SAGETALLY_SRC_APP_FORWARDER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/node_file.h"
#include "frontend/cloudevents/cloud_event.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

class Forwarder {
 public:
  // `config.listen`: the plain front; a port of 0 takes any.
  Forwarder(EventLoop& loop, Logger& log, const Config& config, const NodeFile& deploy);
  ~Forwarder();

  void Reload(const Config&) {}  // nothing here may change under way
  void Shutdown();               // takes nothing new, lets what is out end, then breaks the loop
  std::uint16_t port() const { return plain_->port(); }
  std::uint16_t events_port() const { return events_->port(); }
  // How many planners are UP in the last list.
  std::size_t planners_up() const;

 private:
  struct ForwardedSubmission;  // one submission on its way
  void Plain(const std::shared_ptr<Exchange>& exchange);
  void Events(const std::shared_ptr<Exchange>& exchange);
  void Pass(std::vector<CloudEvent> events, const std::vector<int>& destinations,
            const std::shared_ptr<Exchange>& exchange);
  void Send(const std::shared_ptr<ForwardedSubmission>& passing);
  void Back(const std::shared_ptr<ForwardedSubmission>& passing, const HttpResult& result);
  void End(const std::shared_ptr<ForwardedSubmission>& passing, int code, const std::string& body,
           const Headers& headers);
  void EndIfDone();

  EventLoop& loop_;
  Logger& log_;
  const SiteSettings& site_;
  const std::string planners_app_;
  std::unique_ptr<EurekaClient> eureka_;
  HttpClient calls_;
  std::unique_ptr<HttpServer> plain_, events_;
  Timer end_;
  std::set<std::shared_ptr<ForwardedSubmission>> waiting_;  // to be tried again
  std::size_t out_ = 0;
  bool stopping_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_FORWARDER_H_
