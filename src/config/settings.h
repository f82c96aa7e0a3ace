// The settings of a site, as the platform's configuration and the simulator's first message both write them.
// The platform's words are translated here and occur nowhere behind.
#ifndef SAGETALLY_SRC_CONFIG_SETTINGS_H_
#define SAGETALLY_SRC_CONFIG_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/json.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// The dispatch policy's settings, and the names of what it knows by number.
struct SiteSettings {
  Settings policy;
  std::vector<std::string> classes;  // of messages
  std::vector<std::string> kinds;    // of endpoints
  std::vector<std::string> zones;
  Duration connect_timeout{0};  // of a connection to an endpoint
};

// Reads the settings from a JSON object. Throws FormatError that names the field.
SiteSettings ReadSettings(json::Value params);

// Returns the number of a name, or nothing if it is not among `names`.
std::optional<int> FindName(const std::vector<std::string>& names, std::string_view name);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_SETTINGS_H_
