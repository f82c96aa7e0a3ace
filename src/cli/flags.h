// Settings of a JSON file as flags and environment variables, for every program's command line.
#ifndef SAGETALLY_SRC_CLI_FLAGS_H_
#define SAGETALLY_SRC_CLI_FLAGS_H_

#include <CLI/CLI.hpp>
#include <cctype>
#include <string>
#include <vector>

#include "config/schema.h"

namespace sagetally {

// "cloudevents.listen" with "SAGETALLY_": SAGETALLY_CLOUDEVENTS_LISTEN.
inline std::string VariableFor(const std::string& prefix, std::string path) {
  for (char& c : path) {
    c = c == '.' || c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return prefix + path;
}

// Each of `names` is a flag and a variable; what is given lands in `settings`, which must outlive the
// parsing.
inline void AddSettings(CLI::App& app, const std::vector<SettingName>& names, const std::string& prefix,
                        Overrides& settings, const std::string& group) {
  for (const SettingName& setting : names) {
    app.add_option_function<std::string>(
           "--" + setting.path,
           [&settings, path = setting.path](const std::string& value) { settings[path] = value; },
           setting.description)
        ->envname(VariableFor(prefix, setting.path))
        ->group(group);
  }
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_FLAGS_H_
