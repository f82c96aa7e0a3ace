#include "frontend/cloudevents/event_mapping.h"

#include <algorithm>
#include <optional>

#include "config/format_error.h"
#include "config/parse_number.h"
#include "frontend/cloudevents/attribute_names.h"

namespace sagetally {
namespace {

constexpr char kContentTypeHeader[] = "Content-Type";

// Returns an attribute's value, or an empty string if it is absent.
std::string GetAttribute(const CloudEvent& event, const char* name) {
  const auto attribute = event.attributes.find(name);
  return attribute == event.attributes.end() ? "" : attribute->second;
}

// Returns whether the byte must not be part of an HTTP header (RFC 9110, section 5.5).
bool IsControlCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

int GetWholeNumber(const CloudEvent& event, const char* name) {
  const std::string text = GetAttribute(event, name);
  const std::optional<int> number = ParseNumber<int>(text);
  if (!number || *number < 0) {
    throw FormatError(std::string("attribute '") + name + "' must be a whole number",
                      {name, "a whole number", text});
  }
  return *number;
}

int GetMessageClass(const CloudEvent& event, const SiteSettings& site) {
  const std::string name = GetAttribute(event, cloudevents::kMessageClass);
  const std::optional<int> message_class = FindName(site.classes, name);
  if (!message_class) {
    throw FormatError(std::string("attribute '") + cloudevents::kMessageClass + "': unknown class",
                      {cloudevents::kMessageClass, "a class", name});
  }
  return *message_class;
}

// Stores the event's context attributes in `request` as the headers of binary mode.
void SetAttributes(const CloudEvent& event, Request& request) {
  for (const auto& [name, value] : BinaryHeaders(event)) {
    if (std::ranges::any_of(value, IsControlCharacter)) {
      throw FormatError("control character in '" + name + "'", {name, "one line of text", value});
    }
    request.attributes[name] = value;
  }
}

// Sets the context attributes of `event` for a request that came in as an event.
void RestoreAttributes(const Request& request, CloudEvent& event) {
  for (const auto& [name, value] : request.attributes) {
    if (name == kContentTypeHeader) {
      event.attributes[cloudevents::kDataContentType] = value;
    } else {
      event.attributes[name.substr(cloudevents::kHeaderPrefix.size())] = DecodeHeader(value);
    }
  }
}

// Sets the context attributes of `event` for a request that came in by the platform's protocol.
void MakeAttributes(const Request& request, const SiteSettings& site, CloudEvent& event) {
  event.attributes = {{cloudevents::kSpecVersion, cloudevents::kSupportedSpecVersion},
                      {cloudevents::kId, request.id},
                      {cloudevents::kSource, "/sagetally/plain"},
                      {cloudevents::kType, "sagetally.message"},
                      {cloudevents::kDataContentType, "application/octet-stream"},
                      {cloudevents::kMessageClass, site.classes[request.message_class]},
                      {cloudevents::kDestination, std::to_string(request.destination)}};
  if (!request.idempotency_key.empty()) {
    event.attributes[cloudevents::kIdempotencyKey] = request.idempotency_key;
  }
}

}  // namespace

Request ToRequest(const CloudEvent& event, const SiteSettings& site) {
  Request request;
  request.protocol = IngressProtocol::kCloudEvents;
  request.message_class = GetMessageClass(event, site);
  request.destination = GetWholeNumber(event, cloudevents::kDestination);
  if (GetAttribute(event, cloudevents::kDeadline).empty()) {
    request.time_left = site.policy.classes[request.message_class].deadline;
  } else {
    request.time_left = std::chrono::milliseconds(GetWholeNumber(event, cloudevents::kDeadline));
  }
  request.idempotency_key = EncodeHeader(GetAttribute(event, cloudevents::kIdempotencyKey));
  // An event is identified by its source and id together. The "|" that separates them is percent-encoded
  // within both.
  request.id = EncodeHeader(GetAttribute(event, cloudevents::kSource), "|") + "|" +
               EncodeHeader(GetAttribute(event, cloudevents::kId), "|");
  request.body = event.data;
  SetAttributes(event, request);
  return request;
}

CloudEvent ToCloudEvent(const Request& request, const SiteSettings& site) {
  CloudEvent event;
  if (request.protocol == IngressProtocol::kPlatform) {
    MakeAttributes(request, site, event);
  } else {
    RestoreAttributes(request, event);
  }
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(request.time_left);
  event.attributes[cloudevents::kDeadline] = std::to_string(std::max<std::int64_t>(1, time_left.count()));
  event.data = request.body;
  return event;
}

}  // namespace sagetally
