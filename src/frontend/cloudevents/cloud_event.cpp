#include "frontend/cloudevents/cloud_event.h"

#include <event2/util.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "config/json.h"

namespace sagetally {
namespace {

using json::Malformed;

constexpr std::string_view kStructured = "application/cloudevents+json";
constexpr std::string_view kBatch = "application/cloudevents-batch+json";

std::string Lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  return out;
}

std::string MediaType(std::string_view content_type) {  // without parameters
  std::string type = Lower(content_type.substr(0, content_type.find(';')));
  type.erase(std::remove(type.begin(), type.end(), ' '), type.end());
  return type;
}

bool IsJson(std::string_view content_type) {
  const std::string type = MediaType(content_type);
  return type.empty() || type == "application/json" || type == "text/json" || type.ends_with("+json");
}

bool GoodName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  });
}

std::string FromBase64(std::string_view text) {
  std::string out;
  unsigned bits = 0;
  int held = 0;
  if (text.size() % 4 != 0) Malformed("data_base64 is no base64");
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  for (const char c : text) {
    unsigned value = 0;
    if (c >= 'A' && c <= 'Z') {
      value = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      value = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      value = c - '0' + 52;
    } else if (c == '+' || c == '/') {
      value = c == '+' ? 62 : 63;
    } else {
      Malformed("data_base64 is no base64");
    }
    bits = bits << 6 | value;
    held += 6;
    if (held >= 8) {
      held -= 8;
      out += static_cast<char>(bits >> held & 0xff);
    }
  }
  return out;
}

void Check(const CloudEvent& event) {
  for (const char* name : {"specversion", "id", "source", "type"}) {
    const auto at = event.attributes.find(name);
    if (at == event.attributes.end() || at->second.empty()) {
      Malformed(std::string("missing attribute '") + name + "'");
    }
  }
  if (event.attributes.at("specversion") != "1.0") Malformed("specversion must be 1.0");
}

CloudEvent ReadStructured(json::Value value) {
  simdjson::dom::object fields;
  if (value.get(fields) != simdjson::SUCCESS) Malformed("an event is a JSON object");
  CloudEvent event;
  bool has_data = false;
  json::Value data, base64;
  for (const auto& [key, field] : fields) {
    if (key == "data") {
      data = field;
      has_data = !field.is_null();
    } else if (key == "data_base64") {
      event.data = FromBase64(json::As<std::string>(field, "data_base64"));
      base64 = field;
    } else if (!GoodName(key)) {
      Malformed("attribute names are lower-case letters and digits, not '" + std::string(key) + "'");
    } else if (field.is_string()) {
      event.attributes[std::string(key)] = json::As<std::string>(field, "attribute");
    } else if (field.is_bool() || field.is_int64()) {
      event.attributes[std::string(key)] = simdjson::minify(field);
    } else if (!field.is_null()) {
      Malformed("attribute '" + std::string(key) + "' is no string, whole number or boolean");
    }
  }
  if (has_data) {
    if (!event.data.empty()) Malformed("both data and data_base64");
    const auto type = event.attributes.find("datacontenttype");
    if (type == event.attributes.end()) event.attributes["datacontenttype"] = "application/json";
    const bool as_json = IsJson(event.attributes["datacontenttype"]);
    event.data = !as_json && data.is_string() ? json::As<std::string>(data, "data") : simdjson::minify(data);
  }
  Check(event);
  return event;
}

}  // namespace

std::string EncodeHeader(std::string_view value, std::string_view also) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x21 || byte > 0x7e || c == '"' || c == '%' || also.find(c) != also.npos) {
      out += {'%', kHex[byte >> 4], kHex[byte & 15]};
    } else {
      out += c;
    }
  }
  return out;
}

std::string DecodeHeader(std::string_view value) {
  std::string out;
  for (std::size_t i = 0; i < value.size(); ++i) {
    unsigned byte = 0;
    const char* hex = value.data() + i + 1;
    if (value[i] == '%' && i + 2 < value.size() && std::from_chars(hex, hex + 2, byte, 16).ptr == hex + 2) {
      out += static_cast<char>(byte);
      i += 2;
    } else {
      out += value[i];
    }
  }
  return out;
}

std::vector<CloudEvent> ParseCloudEvents(const Headers& headers, const std::string& body) {
  std::string content_type;
  CloudEvent binary;
  for (const auto& [name, value] : headers) {
    const std::string lower = Lower(name);
    if (lower == "content-type") content_type = value;
    if (!lower.starts_with("ce-")) continue;
    if (!GoodName(lower.substr(3))) Malformed("bad attribute name in header '" + name + "'");
    binary.attributes[lower.substr(3)] = DecodeHeader(value);
  }
  const std::string type = MediaType(content_type);
  if (type != kStructured && type != kBatch) {
    if (binary.attributes.empty()) Malformed("no event: neither ce- headers nor a cloudevents content type");
    if (!content_type.empty()) binary.attributes["datacontenttype"] = content_type;
    binary.data = body;
    Check(binary);
    return {binary};
  }
  simdjson::dom::parser parser;
  json::Value root;
  if (const auto error = parser.parse(body).get(root)) {
    Malformed(std::string("no JSON: ") + simdjson::error_message(error));
  }
  if (type == kStructured) return {ReadStructured(root)};
  simdjson::dom::array members;
  if (root.get(members) != simdjson::SUCCESS) Malformed("a batch is a JSON array");
  std::vector<CloudEvent> events;
  for (const json::Value member : members) {
    try {
      events.push_back(ReadStructured(member));
    } catch (const std::exception& e) {
      Malformed("member " + std::to_string(events.size()) + ": " + e.what());
    }
  }
  return events;
}

Headers BinaryHeaders(const CloudEvent& event) {
  Headers headers;
  for (const auto& [name, value] : event.attributes) {
    if (name == "datacontenttype") {
      headers.emplace_back("Content-Type", value);
    } else {
      headers.emplace_back("ce-" + name, EncodeHeader(value));
    }
  }
  return headers;
}

Request ToRequest(const CloudEvent& event, const SiteSettings& site) {
  const auto& attributes = event.attributes;
  const auto find = [&](const char* name) {
    const auto at = attributes.find(name);
    return at == attributes.end() ? std::string() : at->second;
  };
  const auto whole = [&](const char* name) {
    const std::string text = find(name);
    int value = 0;
    const char* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || at != end || value < 0) {
      Malformed(std::string("attribute '") + name + "' must be a whole number");
    }
    return value;
  };
  Request r;
  r.protocol = IngressProtocol::kCloudEvents;
  const auto named = std::find(site.classes.begin(), site.classes.end(), find(kClassAttribute));
  if (named == site.classes.end())
    Malformed(std::string("attribute '") + kClassAttribute + "': unknown class");
  r.message_class = static_cast<int>(named - site.classes.begin());
  r.destination = whole(kDestinationAttribute);
  r.time_left = find(kDeadlineAttribute).empty() ? site.policy.classes[r.message_class].deadline
                                                 : std::chrono::milliseconds(whole(kDeadlineAttribute));
  r.idempotency_key = EncodeHeader(find(kKeyAttribute));
  r.id = EncodeHeader(find("source"), "|") + "|" + EncodeHeader(find("id"), "|");
  r.body = event.data;
  for (const auto& [name, value] : BinaryHeaders(event)) {
    if (value.find_first_of("\r\n") != std::string::npos) Malformed("line break in '" + name + "'");
    r.attributes[name] = value;
  }
  return r;
}

CloudEvent ToCloudEvent(const Request& request, const SiteSettings& site) {
  CloudEvent event;
  for (const auto& [name, value] : request.attributes) {
    const bool type = name == "Content-Type";
    event.attributes[type ? "datacontenttype" : name.substr(3)] = type ? value : DecodeHeader(value);
  }
  if (request.protocol == IngressProtocol::kPlatform) {
    event.attributes = {{"specversion", "1.0"},
                        {"id", request.id},
                        {"source", "/sagetally/plain"},
                        {"type", "sagetally.message"}};
    event.attributes["datacontenttype"] = "application/octet-stream";
    event.attributes[kClassAttribute] = site.classes[request.message_class];
    event.attributes[kDestinationAttribute] = std::to_string(request.destination);
    if (!request.idempotency_key.empty()) event.attributes[kKeyAttribute] = request.idempotency_key;
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.time_left);
  event.attributes[kDeadlineAttribute] = std::to_string(std::max<std::int64_t>(1, left.count()));
  event.data = request.body;
  return event;
}

}  // namespace sagetally
