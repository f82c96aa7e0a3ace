#include "config/schema.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/format_error.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

// A location in a document that violates the schema.
struct Violation {
  Pointer location;
  std::string description = "a valid document";  // as reported by valijson
};

// Splits the path of a setting, which consists of the keys that lead to it, separated by dots.
std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> keys;
  std::istringstream stream(path);
  for (std::string key; std::getline(stream, key, '.');) keys.push_back(key);
  return keys;
}

// Converts a location as valijson reports it, for example "<root>", "[cloudevents]", "[listen]".
Pointer ToPointer(const std::vector<std::string>& context) {
  Pointer pointer;
  for (const std::string& step : context) {
    if (step.size() < 2 || step.front() != '[') continue;
    pointer /= step.substr(1, step.size() - 2);
  }
  return pointer;
}

std::vector<std::string> SplitPointer(Pointer pointer) {
  std::vector<std::string> steps;
  for (; !pointer.empty(); pointer.pop_back()) steps.insert(steps.begin(), pointer.back());
  return steps;
}

// Returns the subschema that describes a location, or null if there is none.
const Json* FindSubschema(const Json& schema, const Pointer& location) {
  const Json* subschema = &schema;
  for (const std::string& step : SplitPointer(location)) {
    if (subschema->contains("properties") && (*subschema)["properties"].contains(step)) {
      subschema = &(*subschema)["properties"][step];
    } else if (subschema->contains("items")) {
      subschema = &(*subschema)["items"];
    } else {
      return nullptr;
    }
  }
  return subschema;
}

std::string DescribeValue(const Json& document, const Pointer& location) {
  static constexpr std::size_t kMaxBytes = 60;
  if (!document.contains(location)) return "nothing";
  const std::string text = document.at(location).dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() > kMaxBytes ? text.substr(0, kMaxBytes) + "..." : text;
}

std::optional<std::string> FindMissingKey(const Json& subschema, const Json& object) {
  if (!subschema.contains("required")) return std::nullopt;
  for (const Json& key : subschema["required"]) {
    const auto name = key.get<std::string>();
    if (!object.contains(name)) return name;
  }
  return std::nullopt;
}

std::optional<std::string> FindUnknownKey(const Json& subschema, const Json& object) {
  if (subschema.value("additionalProperties", Json(true)) != Json(false)) return std::nullopt;
  for (const auto& [key, value] : object.items()) {
    if (subschema["properties"].contains(key)) continue;
    // A pointer to an empty key would be hard to read, so the error names its object.
    if (key.empty()) return std::nullopt;
    return key;
  }
  return std::nullopt;
}

FormatError UnknownKeyError(const Json& subschema, const Pointer& location, const std::string& key) {
  std::string known_keys;
  for (const auto& [name, value] : subschema["properties"].items()) {
    known_keys += (known_keys.empty() ? "" : ", ") + name;
  }
  return FormatError::Unexpected({(location / key).to_string(), "one of " + known_keys, "'" + key + "'"});
}

// Returns the most deeply nested violation, as it is the most specific one. If several are equally deep,
// returns the first of them.
std::optional<Violation> FindViolation(const Json& schema, const Json& document) {
  valijson::Schema parsed_schema;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, parsed_schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  if (validator.validate(parsed_schema, adapter, &results)) return std::nullopt;
  Violation deepest;
  std::size_t depth = 0;
  for (valijson::ValidationResults::Error error; results.popError(error);) {
    if (error.context.size() <= depth) continue;
    depth = error.context.size();
    deepest.location = ToPointer(error.context);
    deepest.description = error.description;
  }
  return deepest;
}

void AppendSettingNames(const Json& schema, const std::string& prefix, std::vector<SettingName>& names) {
  for (const auto& [name, subschema] : schema["properties"].items()) {
    if (subschema.value("type", "") == "object" && subschema.contains("properties")) {
      AppendSettingNames(subschema, prefix + name + ".", names);
    } else {
      names.push_back({prefix + name, subschema.value("description", "")});
    }
  }
}

const Json& SettingSchema(const Json& schema, const std::string& path) {
  const Json* subschema = &schema;
  for (const std::string& key : SplitPath(path)) subschema = &subschema->at("properties").at(key);
  return *subschema;
}

Json ParseSetting(const Json& subschema, const std::string& text) {
  const std::string type = subschema.value("type", "string");
  const bool is_json = !text.empty() && (text.front() == '[' || text.front() == '{');
  if (type == "array" && !is_json) {
    Json list = Json::array();
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');) {
      list.push_back(ParseSetting(subschema.value("items", Json::object()), item));
    }
    return list;
  }
  if (type == "string") return text;
  Json value = Json::parse(text, nullptr, false);
  return value.is_discarded() ? Json(text) : value;
}

}  // namespace

std::vector<SettingName> SettingNames(const Json& schema) {
  std::vector<SettingName> names;
  AppendSettingNames(schema, "", names);
  return names;
}

void ApplyOverrides(const Json& schema, Json& document, const Overrides& overrides) {
  for (const auto& [path, text] : overrides) {
    Json* setting = &document;
    for (const std::string& key : SplitPath(path)) setting = &(*setting)[key];
    *setting = ParseSetting(SettingSchema(schema, path), text);
  }
}

void ValidateAgainstSchema(const Json& schema, const Json& document) {
  const std::optional<Violation> violation = FindViolation(schema, document);
  if (!violation) return;
  Pointer location = violation->location;
  const Json* subschema = FindSubschema(schema, location);
  // For a missing key, or one that is not in the schema, the error names the key rather than its object.
  if (subschema != nullptr && document.contains(location) && document.at(location).is_object() &&
      subschema->contains("properties")) {
    const Json& object = document.at(location);
    if (const std::optional<std::string> missing = FindMissingKey(*subschema, object)) {
      location /= *missing;
      subschema = FindSubschema(schema, location);
    } else if (const std::optional<std::string> unknown = FindUnknownKey(*subschema, object)) {
      throw UnknownKeyError(*subschema, location, *unknown);
    }
  }
  const bool is_described = subschema != nullptr && subschema->contains("description");
  const std::string expected =
      is_described ? (*subschema)["description"].get<std::string>() : violation->description;
  throw FormatError::Unexpected(
      {location.empty() ? "/" : location.to_string(), expected, DescribeValue(document, location)});
}

}  // namespace sagetally
