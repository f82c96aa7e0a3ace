// A client of Eureka's REST API. Registers this process, renews its lease, cancels it at the shutdown, and
// keeps the list of applications by full fetches and deltas. While the registry can't be reached the last
// list stays. Runs on the event loop's thread.
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

// Keeps this process in the registry and the registry's list in this process.
class EurekaClient {
 public:
  // Starts to register and to fetch. `own` is what is registered; with an empty id nothing is. `changed` is
  // called whenever the list differs from the one before. `loop` and `log` must outlive the client.
  EurekaClient(EventLoop& loop, const EurekaSettings& settings, Instance own,
               std::function<void(const Applications&)> changed, Logger& log);
  ~EurekaClient();
  EurekaClient(const EurekaClient&) = delete;
  EurekaClient& operator=(const EurekaClient&) = delete;

  // Removes this process from the registry and stops fetching. Calls `done` once the registry has answered or
  // can't be reached.
  void Deregister(std::function<void()> done);
  const Applications& applications() const { return applications_; }

 private:
  void SendRequest(evhttp_cmd_type method, const std::string& path, const std::string& body,
                   HttpClient::ResultCallback done);
  std::string OwnPath() const;
  // Logs when the registry becomes unreachable or reachable.
  void SetReachable(bool is_reachable);

  void Register();
  void OnRegistered(int status_code);
  void Renew();
  void OnRenewed(int status_code);
  void Fetch();
  void OnFetched(const HttpResult& result, bool is_delta);
  void UpdateApplications(const std::string& response, bool is_delta);

  const EurekaSettings settings_;
  const Instance own_;
  const std::function<void(const Applications&)> changed_;
  Logger& log_;
  Applications applications_;
  bool has_full_list_ = false;  // the next fetch may be a delta
  bool is_registered_ = false;
  bool is_reachable_ = true;
  bool is_cancelled_ = false;
  Timer renew_timer_;
  Timer fetch_timer_;
  HttpClient http_client_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_CLIENT_H_
