// A forwarder: accepts submissions from clients, sends each as CloudEvents to the planner of its destination,
// and returns the planner's response to the client. It stores no messages. Created by main() for the role
// "forwarder". Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_FORWARDER_H_
#define SAGETALLY_SRC_APP_FORWARDER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/forwarding_policy.h"
#include "app/memory_control.h"
#include "config/config.h"
#include "config/node_file.h"
#include "frontend/cloudevents/cloud_event.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "service_registry/eureka_client.h"

namespace sagetally {

// Owns the servers for clients, the client of the registry and the connections to the planners.
class Forwarder {
 public:
  // `node_file` must have the members `eureka` and `cloudevents`. `loop`, `log` and `config` must outlive
  // this object.
  Forwarder(EventLoop& loop, Logger& log, const Config& config, const NodeFile& node_file);
  ~Forwarder();

  // Starts to listen for clients. A configured port of 0 stands for any free port. Throws std::runtime_error
  // if it can't listen.
  void Start();
  // Does nothing, because a forwarder uses none of the settings that may change while the process runs.
  void Reload(const Config&) {}
  // Starts the graceful shutdown: rejects new submissions, completes those in flight, then breaks the event
  // loop.
  void Shutdown();

  // The ports of the platform's server and of the CloudEvents server. Must not be called before Start().
  std::uint16_t port() const { return platform_server_->port(); }
  std::uint16_t cloudevents_port() const { return cloudevents_server_->port(); }
  // The number of planners with the status UP in the list that the registry has sent last.
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
  MemoryControl memory_;
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
