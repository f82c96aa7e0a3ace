// CloudEvents 1.0 over HTTP: parsing of the three content modes (binary, structured, batch), and the headers
// of the binary one. No I/O. Errors are FormatErrors, whose texts clients get.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "frontend/cloudevents/text_encoding.h"

namespace sagetally {

// HTTP headers by name, in order.
using Headers = std::vector<std::pair<std::string, std::string>>;

// An event: its context attributes, extensions included, in the string form of the type system of
// CloudEvents.
struct CloudEvent {
  std::map<std::string, std::string> attributes;
  std::string data;
};

// Parses all events of one HTTP request. Throws FormatError.
std::vector<CloudEvent> ParseCloudEvents(const Headers& headers, const std::string& body);
// Returns the headers of an event in binary mode, its content type included.
Headers BinaryHeaders(const CloudEvent& event);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_
