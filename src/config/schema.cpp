#include "config/schema.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace sagetally {
namespace {

using Json = nlohmann::json;

// valijson names a place as "<root>", "[cloudevents]", "[listen]".
Json::json_pointer Pointer(const std::vector<std::string>& context) {
  Json::json_pointer pointer;
  for (std::string step : context) {
    if (step.size() < 2 || step.front() != '[') continue;
    pointer /= step.substr(1, step.size() - 2);
  }
  return pointer;
}

// The part of the schema that speaks of the place.
const Json* PartFor(const Json& schema, const Json::json_pointer& pointer) {
  const Json* part = &schema;
  std::vector<std::string> steps;
  for (Json::json_pointer p = pointer; !p.empty(); p.pop_back()) steps.insert(steps.begin(), p.back());
  for (const std::string& step : steps) {
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

std::string Found(const Json& document, const Json::json_pointer& pointer) {
  if (!document.contains(pointer)) return "nothing";
  const std::string text = document.at(pointer).dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() > 60 ? text.substr(0, 60) + "..." : text;
}

// Keys that are missing, or that the schema does not know, are named themselves and not their object.
std::string KeyAtFault(const Json& part, const Json& object, bool& missing) {
  if (!object.is_object() || !part.contains("properties")) return "";
  if (part.contains("required")) {
    for (const Json& key : part["required"]) {
      if (!object.contains(key.get<std::string>())) return missing = true, key.get<std::string>();
    }
  }
  if (part.value("additionalProperties", Json(true)) != Json(false)) return "";
  for (const auto& [key, value] : object.items()) {
    if (!part["properties"].contains(key)) return key;
  }
  return "";
}

void Leaves(const Json& schema, const std::string& prefix, std::vector<SettingName>& out) {
  for (const auto& [name, part] : schema["properties"].items()) {
    if (part.value("type", "") == "object" && part.contains("properties")) {
      Leaves(part, prefix + name + ".", out);
    } else {
      out.push_back({prefix + name, part.value("description", "")});
    }
  }
}

const Json& SchemaPart(const Json& schema, const std::string& path) {
  const Json* part = &schema;
  std::istringstream steps(path);
  for (std::string step; std::getline(steps, step, '.');) part = &part->at("properties").at(step);
  return *part;
}

Json FromText(const Json& part, const std::string& text) {
  const std::string type = part.value("type", "string");
  const bool json_text = !text.empty() && (text.front() == '[' || text.front() == '{');
  if (type == "array" && !json_text) {
    Json list = Json::array();
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');)
      list.push_back(FromText(part.value("items", Json::object()), item));
    return list;
  }
  if (type == "string") return text;
  Json value = Json::parse(text, nullptr, false);  // a number or a boolean; else the schema turns it down
  return value.is_discarded() ? Json(text) : value;
}

}  // namespace

std::vector<SettingName> SettingNames(const Json& schema) {
  std::vector<SettingName> all;
  Leaves(schema, "", all);
  return all;
}

void ApplyOverrides(const Json& schema, Json& document, const Overrides& overrides) {
  for (const auto& [path, value] : overrides) {
    Json* at = &document;
    std::istringstream steps(path);
    for (std::string step; std::getline(steps, step, '.');) at = &(*at)[step];
    *at = FromText(SchemaPart(schema, path), value);
  }
}

void Validate(const Json& schema, const Json& document) {
  valijson::Schema rules;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schema_adapter(schema);
  parser.populateSchema(schema_adapter, rules);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(document);
  if (validator.validate(rules, adapter, &results)) return;
  // The deepest place says most; the first of these was found first.
  Json::json_pointer pointer;
  std::size_t depth = 0;
  std::string description = "a valid document";
  for (valijson::ValidationResults::Error error; results.popError(error);) {
    if (error.context.size() <= depth) continue;
    depth = error.context.size();
    pointer = Pointer(error.context);
    description = error.description;
  }
  const Json* part = PartFor(schema, pointer);
  bool missing = false;
  if (part != nullptr && document.contains(pointer)) {
    const std::string key = KeyAtFault(*part, document.at(pointer), missing);
    if (!key.empty() && !missing) {
      std::string known;
      for (const auto& [name, value] : (*part)["properties"].items()) {
        known += (known.empty() ? "" : ", ") + name;
      }
      throw std::runtime_error((pointer / key).to_string() + ": expected one of " + known + ", found '" +
                               key + "'");
    }
    if (!key.empty()) {
      pointer /= key;
      part = PartFor(schema, pointer);
    }
  }
  const std::string expected = part != nullptr && part->contains("description")
                                   ? (*part)["description"].get<std::string>()
                                   : description;
  const std::string where = pointer.empty() ? "/" : pointer.to_string();
  throw std::runtime_error(where + ": expected " + expected + ", found " + Found(document, pointer));
}

}  // namespace sagetally
