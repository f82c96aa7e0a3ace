// The platform's protocol: one message for each HTTP request, described by its path and headers. Called on
// the event loop's thread.
#ifndef SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_
#define SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "frontend/frontend.h"

namespace sagetally {

// Parses a time such as "480m" (milliseconds) or "480u" (microseconds). Returns nothing if it is negative,
// beyond 1e12 units or malformed.
std::optional<Duration> ParseDeadline(std::string_view text);
// Returns the destination in an envelope such as "dest=7" or "a=1,dest=7", or nothing if it has no valid one.
std::optional<int> ParseDestination(std::string_view envelope);

// Parses the message of an HTTP request. Throws FormatError that says what is wrong and names the header.
Request ParsePlatformRequest(const Exchange& exchange, const SiteSettings& site);
// The same: fills `request` and returns an empty text, or returns what is wrong.
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
