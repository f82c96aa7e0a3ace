// The frontend of the platform's protocol. Each HTTP request submits one message, whose path and headers
// describe it. Called on the event loop's thread.
#ifndef SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_
#define SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "frontend/frontend.h"

namespace sagetally {

// Parses the value of an X-Deadline header: a time such as "480m" (milliseconds) or "480u" (microseconds).
// Returns nothing if it is malformed, negative or above 1e12 units.
std::optional<Duration> ParseDeadline(std::string_view text);
// Returns the destination in an X-Envelope header such as "dest=7" or "a=1,dest=7", or nothing if it contains
// no valid one.
std::optional<int> ParseDestination(std::string_view envelope);

// Parses the message of an HTTP request. Throws FormatError with the name of the header that is wrong and a
// text for the client.
Request ParsePlatformRequest(const Exchange& exchange, const SiteSettings& site);
// Does the same without exceptions: stores the message in `request` and returns an empty string, or returns
// the error's text.
std::string ParsePlatformRequest(const Exchange& exchange, const SiteSettings& site, Request& request);

// Accepts messages in the platform's protocol.
class PlatformFrontend : public Frontend {
 public:
  using Frontend::Frontend;

 private:
  std::vector<Request> ParseRequests(const Exchange& exchange) const override;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_
