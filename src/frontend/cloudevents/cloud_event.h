// CloudEvents 1.0 and their HTTP binding: reading the three modes, and the headers of the binary one.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "core/message.h"

namespace sagetally {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct CloudEvent {
  std::map<std::string, std::string> attributes;  // context attributes, extensions included, as strings
  std::string data;
};

// Extension attributes that say what the dispatcher is to do with an event.
inline constexpr char kClassAttribute[] = "messageclass";
inline constexpr char kDestinationAttribute[] = "destination";
inline constexpr char kDeadlineAttribute[] = "deadlinems";  // absent: the class's deadline
inline constexpr char kKeyAttribute[] = "idempotencykey";

// Header values: bytes outside 0x21 to 0x7e, quotes and per cent signs are percent-encoded.
std::string EncodeHeader(std::string_view value, std::string_view also = "");
std::string DecodeHeader(std::string_view value);

// All events of one HTTP request. Throws std::runtime_error saying what is wrong.
std::vector<CloudEvent> ParseCloudEvents(const Headers& headers, const std::string& body);
// The headers of the binary mode, content type included.
Headers BinaryHeaders(const CloudEvent& event);

// The core request that an event asks for. Throws std::runtime_error.
Request ToRequest(const CloudEvent& event, const SiteSettings& site);
// The event that carries a core request onward; one of the plain form gets attributes of its own.
CloudEvent ToCloudEvent(const Request& request, const SiteSettings& site);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_
