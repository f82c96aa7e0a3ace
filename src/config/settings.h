// Reads the settings of a site, which the platform's configuration and the simulator's first message contain
// in the same format. The platform's terms are translated here; the rest of the program uses its own terms.
// Used on the main thread.
#ifndef SAGETALLY_SRC_CONFIG_SETTINGS_H_
#define SAGETALLY_SRC_CONFIG_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/json.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// The settings of the dispatch policy, and the names of the classes, kinds and zones, which the policy
// identifies by number.
struct SiteSettings {
  Settings policy;
  std::vector<std::string> classes;  // names of the message classes, by number
  std::vector<std::string> kinds;    // names of the endpoint kinds, by number
  std::vector<std::string> zones;    // names of the zones, by number
  Duration connect_timeout{0};       // for opening a connection to an endpoint
};

// Reads the settings from a JSON object. Throws FormatError that names the field.
SiteSettings ReadSettings(json::Value params);

// Returns the index of `name` in `names`, or no value if it is not among them.
std::optional<int> FindName(const std::vector<std::string>& names, std::string_view name);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_SETTINGS_H_
