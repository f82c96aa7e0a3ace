// CloudEvents 1.0 over HTTP. Parses the three content modes (binary, structured, batch) and generates the
// headers of binary mode. Does no I/O and keeps no state. Errors are FormatErrors, whose texts are sent to
// clients.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "frontend/cloudevents/text_encoding.h"

namespace sagetally {

// The name and value of each HTTP header, in the order on the wire.
using Headers = std::vector<std::pair<std::string, std::string>>;

// An event. Its context attributes, including extensions, have the string form that the CloudEvents type
// system defines.
struct CloudEvent {
  std::map<std::string, std::string> attributes;
  std::string data;
};

// Parses all events of one HTTP request. Throws FormatError if one of them is malformed.
std::vector<CloudEvent> ParseCloudEvents(const Headers& headers, const std::string& body);
// Returns the headers of an event in binary mode, including the Content-Type header.
Headers BinaryHeaders(const CloudEvent& event);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUD_EVENT_H_
