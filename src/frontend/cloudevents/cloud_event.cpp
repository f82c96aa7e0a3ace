#include "frontend/cloudevents/cloud_event.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include "base/utf8.h"
#include "config/json.h"
#include "frontend/cloudevents/attribute_names.h"

namespace sagetally {
namespace {

using json::Malformed;

constexpr std::string_view kStructuredType = "application/cloudevents+json";
constexpr std::string_view kBatchType = "application/cloudevents-batch+json";

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

// Returns the media type in lower case, without its parameters and spaces.
std::string MediaType(std::string_view content_type) {
  std::string type = ToLower(content_type.substr(0, content_type.find(';')));
  type.erase(std::remove(type.begin(), type.end(), ' '), type.end());
  return type;
}

bool IsJson(std::string_view content_type) {
  const std::string type = MediaType(content_type);
  return type.empty() || type == "application/json" || type == "text/json" || type.ends_with("+json");
}

bool IsAttributeName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  });
}

// Attributes are Unicode strings, but headers may contain any bytes.
void CheckEncoding(const CloudEvent& event) {
  for (const auto& [name, value] : event.attributes) {
    if (!IsUtf8(value)) throw FormatError("attribute '" + name + "' is not UTF-8", {name, "UTF-8", ""});
  }
}

void CheckRequiredAttributes(const CloudEvent& event) {
  using namespace cloudevents;
  for (const char* name : {kSpecVersion, kId, kSource, kType}) {
    const auto attribute = event.attributes.find(name);
    if (attribute == event.attributes.end() || attribute->second.empty()) {
      throw FormatError(std::string("missing attribute '") + name + "'", {name, "a value", "nothing"});
    }
  }
  const std::string& version = event.attributes.at(kSpecVersion);
  if (version != kSupportedSpecVersion) {
    throw FormatError("specversion must be 1.0", {kSpecVersion, kSupportedSpecVersion, version});
  }
}

// Reads a member of a structured event that is a context attribute.
void ReadAttribute(std::string_view name, json::Value value, CloudEvent& event) {
  const std::string key(name);
  if (!IsAttributeName(name)) {
    Malformed("attribute names are lower-case letters and digits, not '" + key + "'");
  }
  if (value.is_string()) {
    event.attributes[key] = json::As<std::string>(value, "attribute");
  } else if (value.is_bool() || value.is_int64()) {
    event.attributes[key] = simdjson::minify(value);
  } else if (!value.is_null()) {
    Malformed("attribute '" + key + "' is no string, whole number or boolean");
  }
}

// Reads the member `data` of a structured event. If the content type is not JSON and the member is a string,
// the string itself is the data. Otherwise the data is the member's JSON text.
void ReadData(json::Value data, CloudEvent& event) {
  if (!event.data.empty()) Malformed("both data and data_base64");
  const auto [type, is_default] =
      event.attributes.try_emplace(cloudevents::kDataContentType, "application/json");
  if (!IsJson(type->second) && data.is_string()) {
    event.data = json::As<std::string>(data, "data");
  } else {
    event.data = simdjson::minify(data);
  }
}

CloudEvent ReadStructured(json::Value value) {
  simdjson::dom::object members;
  if (value.get(members) != simdjson::SUCCESS) Malformed("an event is a JSON object");
  CloudEvent event;
  std::optional<json::Value> data;
  for (const auto& [name, member] : members) {
    if (name == "data") {
      data = member;
    } else if (name == "data_base64") {
      event.data = DecodeBase64(json::As<std::string>(member, "data_base64"));
    } else {
      ReadAttribute(name, member, event);
    }
  }
  if (data && !data->is_null()) ReadData(*data, event);
  CheckRequiredAttributes(event);
  return event;
}

CloudEvent ReadBinary(CloudEvent event, const std::string& content_type, const std::string& body) {
  if (event.attributes.empty()) Malformed("no event: neither ce- headers nor a cloudevents content type");
  if (!content_type.empty()) event.attributes[cloudevents::kDataContentType] = content_type;
  event.data = body;
  CheckEncoding(event);
  CheckRequiredAttributes(event);
  return event;
}

std::vector<CloudEvent> ReadBatch(json::Value root) {
  simdjson::dom::array members;
  if (root.get(members) != simdjson::SUCCESS) Malformed("a batch is a JSON array");
  std::vector<CloudEvent> events;
  for (const json::Value member : members) {
    try {
      events.push_back(ReadStructured(member));
    } catch (const FormatError& error) {
      throw FormatError("member " + std::to_string(events.size()) + ": " + error.what(), error.fault());
    }
  }
  return events;
}

}  // namespace

std::vector<CloudEvent> ParseCloudEvents(const Headers& headers, const std::string& body) {
  std::string content_type;
  CloudEvent binary;
  for (const auto& [name, value] : headers) {
    const std::string lower_name = ToLower(name);
    if (lower_name == "content-type") content_type = value;
    if (!lower_name.starts_with(cloudevents::kHeaderPrefix)) continue;
    const std::string attribute = lower_name.substr(cloudevents::kHeaderPrefix.size());
    if (!IsAttributeName(attribute)) Malformed("bad attribute name in header '" + name + "'");
    binary.attributes[attribute] = DecodeHeader(value);
  }
  const std::string type = MediaType(content_type);
  if (type != kStructuredType && type != kBatchType) return {ReadBinary(binary, content_type, body)};
  simdjson::dom::parser parser;
  const json::Value root = json::Parse(parser, body);
  if (type == kBatchType) return ReadBatch(root);
  return {ReadStructured(root)};
}

Headers BinaryHeaders(const CloudEvent& event) {
  Headers headers;
  for (const auto& [name, value] : event.attributes) {
    if (name == cloudevents::kDataContentType) {
      headers.emplace_back("Content-Type", value);
    } else {
      headers.emplace_back(std::string(cloudevents::kHeaderPrefix) + name, EncodeHeader(value));
    }
  }
  return headers;
}

}  // namespace sagetally
