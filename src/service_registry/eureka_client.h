// A client of Eureka's REST API. It registers this process, renews its lease, cancels the lease at the
// shutdown, and keeps the list of applications up to date by full fetches and deltas. While the registry
// can't be reached, the last list remains in use. Runs on the event loop's thread.
#ifndef SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_CLIENT_H_
#define SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_CLIENT_H_

#include <functional>
#include <string>

#include "config/node_file.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "service_registry/eureka_format.h"

namespace sagetally {

// Owns this process's registration and its copy of the registry's list.
class EurekaClient {
 public:
  // Starts to register and to fetch. `own_instance` is the instance that is registered; with an empty id,
  // nothing is registered. `on_changed` is called whenever the list differs from the previous one. `loop` and
  // `log` must outlive the client.
  EurekaClient(EventLoop& loop, const EurekaSettings& settings, Instance own_instance,
               std::function<void(const Applications&)> on_changed, Logger& log);
  ~EurekaClient();
  EurekaClient(const EurekaClient&) = delete;
  EurekaClient& operator=(const EurekaClient&) = delete;

  // Removes this process from the registry and stops fetching. Calls `on_done` when the registry has answered
  // or can't be reached, or at once if this client registers nothing.
  void Deregister(std::function<void()> on_done);
  // The list as it was fetched last.
  const Applications& applications() const { return applications_; }

 private:
  void SendRequest(evhttp_cmd_type method, const std::string& path, const std::string& body,
                   HttpClient::ResultCallback on_result);
  std::string OwnPath() const;
  // Logs when the registry becomes unreachable or reachable again.
  void SetReachable(bool is_reachable);

  void Register();
  void OnRegistered(int status_code);
  void Renew();
  void OnRenewed(int status_code);
  void Fetch();
  void OnFetched(const HttpResult& result, bool is_delta);
  void UpdateApplications(const std::string& response, bool is_delta);

  const EurekaSettings settings_;
  const Instance own_instance_;
  const std::function<void(const Applications&)> on_changed_;
  Logger& log_;
  Applications applications_;
  bool has_full_list_ = false;  // if set, the next fetch may be a delta
  bool is_registered_ = false;
  bool is_reachable_ = true;
  bool is_deregistered_ = false;
  Timer renew_timer_;
  Timer fetch_timer_;
  HttpClient http_client_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_CLIENT_H_
