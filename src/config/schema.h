// Validation of operators' JSON files by JSON Schema, with errors that say where, what was expected and what
// was found; and settings from the command line and the environment that override a file's. Used by the
// readers of node.json and of the load test's files, before any thread starts.
#ifndef SAGETALLY_SRC_CONFIG_SCHEMA_H_
#define SAGETALLY_SRC_CONFIG_SCHEMA_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

// Checks a document against a schema. Throws FormatError whose key is a JSON pointer: "/cloudevents/listen:
// expected an address, found 7".
void ValidateAgainstSchema(const nlohmann::json& schema, const nlohmann::json& document);

// One setting of a schema: a value that is not an object with properties of its own.
struct SettingName {
  std::string path;  // the keys that lead to it, with points between: "cloudevents.listen"
  std::string description;
};
// Returns all settings of a schema.
std::vector<SettingName> SettingNames(const nlohmann::json& schema);

// Settings that override a file's, by path: {"cloudevents.listen", "127.0.0.1:9080"}.
using Overrides = std::map<std::string, std::string>;
// Sets overrides in a document. A text becomes what the schema wants at its path: a number, a boolean, a list
// with commas between its items, or JSON for a list whose items have parts of their own. A text that is none
// of these stays one, for Validate to reject. The paths must be the schema's.
void ApplyOverrides(const nlohmann::json& schema, nlohmann::json& document, const Overrides& overrides);

// The text of deploy/schema/node.schema.json.
extern const std::string_view kNodeSchema;

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_SCHEMA_H_
