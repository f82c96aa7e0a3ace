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

// A place in a document that doesn't keep to its schema.
struct Violation {
  Pointer place;
  std::string description = "a valid document";  // in valijson's words
};

// Settings in schemas and overrides are named by the keys that lead to them, with points between.
std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> keys;
  std::istringstream stream(path);
  for (std::string key; std::getline(stream, key, '.');) keys.push_back(key);
  return keys;
}

// valijson names a place as "<root>", "[cloudevents]", "[listen]".
Pointer ToPointer(const std::vector<std::string>& context) {
  Pointer pointer;
  for (const std::string& step : context) {
    if (step.size() < 2 || step.front() != '[') continue;
    pointer /= step.substr(1, step.size() - 2);
  }
  return pointer;
}

std::vector<std::string> Steps(Pointer pointer) {
  std::vector<std::string> steps;
  for (; !pointer.empty(); pointer.pop_back()) steps.insert(steps.begin(), pointer.back());
  return steps;
}

// The part of the schema that describes a place, or null.
const Json* FindSchemaPart(const Json& schema, const Pointer& place) {
  const Json* part = &schema;
  for (const std::string& step : Steps(place)) {
    if (part->contains("properties") && (*part)["properties"].contains(step)) {
      part = &(*part)["properties"][step];
    } else if (part->contains("items")) {
      part = &(*part)["items"];
    } else {
      return nullptr;
    }
  }
  return part;
}

std::string DescribeValue(const Json& document, const Pointer& place) {
  static constexpr std::size_t kMaxLength = 60;
  if (!document.contains(place)) return "nothing";
  const std::string text = document.at(place).dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() > kMaxLength ? text.substr(0, kMaxLength) + "..." : text;
}

std::optional<std::string> FindMissingKey(const Json& part, const Json& object) {
  if (!part.contains("required")) return std::nullopt;
  for (const Json& key : part["required"]) {
    const auto name = key.get<std::string>();
    if (!object.contains(name)) return name;
  }
  return std::nullopt;
}

std::optional<std::string> FindUnknownKey(const Json& part, const Json& object) {
  if (part.value("additionalProperties", Json(true)) != Json(false)) return std::nullopt;
  for (const auto& [key, value] : object.items()) {
    if (part["properties"].contains(key)) continue;
    if (key.empty()) return std::nullopt;  // a pointer to it would be hard to read: its object is named
    return key;
  }
  return std::nullopt;
}

FormatError UnknownKeyError(const Json& part, const Pointer& place, const std::string& key) {
  std::string known_keys;
  for (const auto& [name, value] : part["properties"].items()) {
    known_keys += (known_keys.empty() ? "" : ", ") + name;
  }
  return FormatError::Unexpected({(place / key).to_string(), "one of " + known_keys, "'" + key + "'"});
}

// Returns the violation that lies deepest, as it says most; the first of these if there are several.
std::optional<Violation> FindViolation(const Json& schema, const Json& document) {
  valijson::Schema rules;
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, rules);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  if (validator.validate(rules, adapter, &results)) return std::nullopt;
  Violation deepest;
  std::size_t depth = 0;
  for (valijson::ValidationResults::Error error; results.popError(error);) {
    if (error.context.size() <= depth) continue;
    depth = error.context.size();
    deepest.place = ToPointer(error.context);
    deepest.description = error.description;
  }
  return deepest;
}

void AppendSettingNames(const Json& schema, const std::string& prefix, std::vector<SettingName>& names) {
  for (const auto& [name, part] : schema["properties"].items()) {
    if (part.value("type", "") == "object" && part.contains("properties")) {
      AppendSettingNames(part, prefix + name + ".", names);
    } else {
      names.push_back({prefix + name, part.value("description", "")});
    }
  }
}

const Json& SettingSchema(const Json& schema, const std::string& path) {
  const Json* part = &schema;
  for (const std::string& key : SplitPath(path)) part = &part->at("properties").at(key);
  return *part;
}

Json ParseSetting(const Json& part, const std::string& text) {
  const std::string type = part.value("type", "string");
  const bool is_json = !text.empty() && (text.front() == '[' || text.front() == '{');
  if (type == "array" && !is_json) {
    Json list = Json::array();
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');) {
      list.push_back(ParseSetting(part.value("items", Json::object()), item));
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
  Pointer place = violation->place;
  const Json* part = FindSchemaPart(schema, place);
  // A key that is missing, or that the schema doesn't know, is named itself and not its object.
  if (part != nullptr && document.contains(place) && document.at(place).is_object() &&
      part->contains("properties")) {
    const Json& object = document.at(place);
    if (const std::optional<std::string> missing = FindMissingKey(*part, object)) {
      place /= *missing;
      part = FindSchemaPart(schema, place);
    } else if (const std::optional<std::string> unknown = FindUnknownKey(*part, object)) {
      throw UnknownKeyError(*part, place, *unknown);
    }
  }
  const bool is_described = part != nullptr && part->contains("description");
  const std::string expected =
      is_described ? (*part)["description"].get<std::string>() : violation->description;
  throw FormatError::Unexpected(
      {place.empty() ? "/" : place.to_string(), expected, DescribeValue(document, place)});
}

}  // namespace sagetally
