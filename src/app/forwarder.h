// A forwarder: accepts submissions from clients and passes each on, as CloudEvents, to the planner of its
// destination; the planner's answer is the client's. It stores no message. All on the loop's thread.
#ifndef SAGETALLY_SRC_APP_FORWARDER_H_
#define SAGETALLY_SRC_APP_FORWARDER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/forwarding_policy.h"
#include "config/config.h"
#include "config/node_file.h"
#include "frontend/cloudevents/cloud_event.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

class Forwarder {
 public:
  // `node_file` must have `eureka` and `cloudevents`. The references must outlive this object.
  Forwarder(EventLoop& loop, Logger& log, const Config& config, const NodeFile& node_file);
  ~Forwarder();

  // Listens for clients. A port of 0 takes any. Throws std::runtime_error if it can't listen.
  void Start();
  // Nothing that can be changed under way concerns a forwarder.
  void Reload(const Config&) {}
  // Accepts nothing new, lets what is in flight end, then breaks the loop.
  void Shutdown();

  std::uint16_t port() const { return platform_server_->port(); }
  std::uint16_t cloudevents_port() const { return cloudevents_server_->port(); }
  // How many planners are UP in the registry's last list.
  std::size_t planners_up() const;

 private:
  struct ForwardedSubmission;
  using SubmissionPtr = std::shared_ptr<ForwardedSubmission>;

  void OnPlatformRequest(const std::shared_ptr<Exchange>& exchange);
  void OnCloudEventsRequest(const std::shared_ptr<Exchange>& exchange);
  void Forward(const std::vector<CloudEvent>& events, const std::vector<int>& destinations,
               const std::shared_ptr<Exchange>& exchange);
  void StartForwarding(const std::vector<CloudEvent>& events, const Address& planner,
                       const std::shared_ptr<Exchange>& exchange);
  void SendAttempt(const SubmissionPtr& submission);
  void OnAttemptResult(const SubmissionPtr& submission, const HttpResult& result);
  void Retry(const ForwardedSubmission* submission);
  void Complete(const SubmissionPtr& submission, int status_code, const std::string& body,
                const Headers& headers = {});
  void ExitIfDone();

  EventLoop& loop_;
  Logger& log_;
  const Config& config_;
  const Address cloudevents_address_;
  const std::string planners_application_;
  EurekaClient eureka_;
  HttpClient http_client_;
  std::unique_ptr<HttpServer> platform_server_;
  std::unique_ptr<HttpServer> cloudevents_server_;
  Timer exit_timer_;
  std::set<SubmissionPtr> waiting_for_retry_;
  std::size_t in_flight_ = 0;
  bool is_stopping_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_FORWARDER_H_
