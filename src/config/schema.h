// Validates operators' JSON files against a JSON Schema. Errors name the location, the expected value and the
// value that was found. Also applies settings from the command line and the environment that override those
// of a file. Used by the readers of node.json and of the load test's files, before any thread starts.
#ifndef SAGETALLY_SRC_CONFIG_SCHEMA_H_
#define SAGETALLY_SRC_CONFIG_SCHEMA_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

// Checks a document against a schema. Throws FormatError whose key is a JSON pointer, with a message such as
// "/cloudevents/listen: expected an address, found 7".
void ValidateAgainstSchema(const nlohmann::json& schema, const nlohmann::json& document);

// One setting of a schema. A setting is a value that is not an object with properties of its own.
struct SettingName {
  std::string path;  // the keys that lead to it, separated by dots: "cloudevents.listen"
  std::string description;
};
// Returns all settings of a schema.
std::vector<SettingName> SettingNames(const nlohmann::json& schema);

// Settings that override those of a file, by path, for example {"cloudevents.listen", "127.0.0.1:9080"}.
using Overrides = std::map<std::string, std::string>;
// Applies `overrides` to `document`. Each text is converted to the type that the schema gives for its path: a
// number, a boolean, a list with commas between its items, or a list written as JSON, which is needed if its
// items are objects or lists. A text that can't be converted stays a string, which ValidateAgainstSchema then
// rejects. Every path must exist in the schema.
void ApplyOverrides(const nlohmann::json& schema, nlohmann::json& document, const Overrides& overrides);

// The text of deploy/schema/node.schema.json.
extern const std::string_view kNodeSchema;

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_SCHEMA_H_
