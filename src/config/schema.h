// Validation of operators' JSON files by JSON Schema, with errors that say where, what was expected and what
// was found.
#ifndef SAGETALLY_SRC_CONFIG_SCHEMA_H_
#define SAGETALLY_SRC_CONFIG_SCHEMA_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

// Throws std::runtime_error: "/cloudevents/listen: expected an address, found 7".
void Validate(const nlohmann::json& schema, const nlohmann::json& document);

struct SettingName {  // one leaf of a schema
  std::string path, description;
};
std::vector<SettingName> SettingNames(const nlohmann::json& schema);

// Settings that go before a file's, by path, such as {"cloudevents.listen", "127.0.0.1:9080"}. Texts become
// what the schema wants at their path: numbers, booleans, lists with commas between, or JSON where a list or
// an object has parts of its own.
using Overrides = std::map<std::string, std::string>;
void ApplyOverrides(const nlohmann::json& schema, nlohmann::json& document, const Overrides& overrides);

extern const std::string_view kNodeSchema;  // deploy/schema/node.schema.json

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_SCHEMA_H_
