// Eureka's REST API, as a client: registers this process, renews its lease, cancels it at the end, and keeps
// the list of applications by whole fetches and deltas. A registry that can't be reached keeps the last list.
#ifndef SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_CLIENT_H_
#define SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "config/node_file.h"
#include "logging/logger.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace sagetally {

struct Instance {
  std::string id = {}, app = {}, host = {}, status = {};
  std::uint16_t port = 0;
  std::map<std::string, std::string> metadata = {};
  bool up() const { return status == "UP"; }
  bool operator==(const Instance&) const = default;
};

// By application (upper case), then by instance id.
using Applications = std::map<std::string, std::map<std::string, Instance>>;

// Reads an answer to GET apps, or applies one to GET apps/delta. Throws std::runtime_error.
Applications ReadApplications(std::string_view json);
// False if the list that results has another hash code than the delta names: a whole fetch is due.
bool ApplyDelta(std::string_view json, Applications& applications);
// The number of instances by status, as Eureka writes it: "DOWN_1_UP_3_".
std::string HashCode(const Applications& applications);

class EurekaClient {
 public:
  // `own`: what is registered; an empty id registers nothing. `changed` is called whenever the list differs.
  EurekaClient(EventLoop& loop, const EurekaSettings& settings, Instance own,
               std::function<void(const Applications&)> changed, Logger& log);
  ~EurekaClient();

  // Takes this process off the registry; `done` is called once it was heard, or could not be.
  void Cancel(std::function<void()> done);
  const Applications& applications() const { return applications_; }

 private:
  using Done = std::function<void(int code, const std::string& body)>;
  void Ask(evhttp_cmd_type method, const std::string& path, const std::string& body, Done done);
  void Register();
  void Renew();
  void Fetch();
  void Fetched(int code, const std::string& body, bool delta);
  void Reachable(bool reached);

  const EurekaSettings settings_;
  const Instance own_;
  std::function<void(const Applications&)> changed_;
  Logger& log_;
  Applications applications_;
  bool fetched_ = false, registered_ = false, lost_ = false, cancelled_ = false;
  Timer renew_, fetch_;
  HttpClient calls_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_CLIENT_H_
