// The optional file under deploy/ for what stands beside the platform: the CloudEvents front, the role of
// this process and the registry it uses. Without the file there is none of these.
#ifndef SAGETALLY_SRC_CONFIG_DEPLOY_H_
#define SAGETALLY_SRC_CONFIG_DEPLOY_H_

#include <optional>
#include <string>

#include "config/config.h"

namespace sagetally {

enum class Role { kBoth, kForwarder, kPlanner };  // kBoth: one process takes and delivers

struct CloudEventsSettings {
  Address listen;
  std::optional<Address> sink;  // result events go there; absent: they are not told
  std::string sink_path = "/";
};

struct EurekaSettings {
  Address registry;
  std::string path = "/eureka";        // before /apps
  std::string host;                    // this process's address as it registers itself
  std::string planners = "SAGETALLY";  // application name of the planners
  std::string partners = "PARTNERS";   // application whose instances are partner endpoints
  Duration renew = std::chrono::seconds(30);
  Duration fetch = std::chrono::seconds(30);
};

struct DeployFile {
  Role role = Role::kBoth;
  std::optional<CloudEventsSettings> cloudevents;
  std::optional<EurekaSettings> eureka;
};

// Throw std::runtime_error naming the key at fault.
DeployFile ParseDeployFile(const std::string& text);
DeployFile ReadDeployFile(const std::string& path);  // absent: all off

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_DEPLOY_H_
