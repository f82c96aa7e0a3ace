// Defines flags and environment variables for the settings of a JSON file. Used for the command line of every
// program.
#ifndef SAGETALLY_SRC_CLI_FLAGS_H_
#define SAGETALLY_SRC_CLI_FLAGS_H_

#include <CLI/CLI.hpp>
#include <cctype>
#include <string>
#include <vector>

#include "config/schema.h"

namespace sagetally {

// Returns the environment variable of a setting. For example, it is SAGETALLY_CLOUDEVENTS_LISTEN for the path
// "cloudevents.listen" and the prefix "SAGETALLY_".
inline std::string EnvironmentVariableFor(const std::string& prefix, std::string path) {
  for (char& character : path) {
    const bool is_separator = character == '.' || character == '-';
    character = is_separator ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
  }
  return prefix + path;
}

// Adds a flag and an environment variable for each of `names`, in the group `group` of the help text. Parsing
// stores the given values in `settings`, which must outlive the parsing.
inline void AddSettings(CLI::App& app, const std::vector<SettingName>& names, const std::string& prefix,
                        Overrides& settings, const std::string& group) {
  for (const SettingName& setting : names) {
    const auto store = [&settings, path = setting.path](const std::string& value) { settings[path] = value; };
    app.add_option_function<std::string>("--" + setting.path, store, setting.description)
        ->envname(EnvironmentVariableFor(prefix, setting.path))
        ->group(group);
  }
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_FLAGS_H_
