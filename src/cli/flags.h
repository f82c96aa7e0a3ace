// Settings of a JSON file as flags and environment variables, for the command line of every program.
#ifndef SAGETALLY_SRC_CLI_FLAGS_H_
#define SAGETALLY_SRC_CLI_FLAGS_H_

#include <CLI/CLI.hpp>
#include <cctype>
#include <string>
#include <vector>

#include "config/schema.h"

namespace sagetally {

// The environment variable of a setting: "cloudevents.listen" with "SAGETALLY_" is
// SAGETALLY_CLOUDEVENTS_LISTEN.
inline std::string VariableFor(const std::string& prefix, std::string path) {
  for (char& character : path) {
    const bool is_separator = character == '.' || character == '-';
    character = is_separator ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
  }
  return prefix + path;
}

// Makes each of `names` a flag, in the help's group `group`, and a variable. The values given are put into
// `settings`, which must outlive the parsing.
inline void AddSettings(CLI::App& app, const std::vector<SettingName>& names, const std::string& prefix,
                        Overrides& settings, const std::string& group) {
  for (const SettingName& setting : names) {
    const auto store = [&settings, path = setting.path](const std::string& value) { settings[path] = value; };
    app.add_option_function<std::string>("--" + setting.path, store, setting.description)
        ->envname(VariableFor(prefix, setting.path))
        ->group(group);
  }
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_FLAGS_H_
