// The settings that the simulator's first message and the platform's configuration share.
#ifndef SAGETALLY_SRC_CONFIG_SETTINGS_H_
#define SAGETALLY_SRC_CONFIG_SETTINGS_H_

#include <string>
#include <vector>

#include "config/json.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

struct SiteSettings {
  Settings policy;
  std::vector<std::string> classes, kinds, zones;  // names, by number
  Duration connect_timeout{0};
};

// Throws std::runtime_error that names the field.
SiteSettings ReadSettings(json::Value params);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_SETTINGS_H_
