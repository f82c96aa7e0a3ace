// The platform's protocol as core requests: one message per HTTP request.
#ifndef SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_
#define SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_

#include <optional>
#include <string>
#include <string_view>

#include "admin/readiness.h"
#include "config/settings.h"
#include "core/message.h"
#include "net/http_server.h"
#include "pipeline/request_validator.h"

namespace sagetally {

// "480m" (milliseconds) or "480u" (microseconds).
std::optional<Duration> ParseDeadline(std::string_view text);
// The `dest` of "dest=7" or "a=1,dest=7".
std::optional<int> ParseDestination(std::string_view envelope);
// Fills `request` from a message in the platform's form, or says what is wrong.
std::string ParsePlatformRequest(const Exchange& exchange, const SiteSettings& site, Request& request);

class PlatformFrontend {
 public:
  PlatformFrontend(const SiteSettings& site, RequestValidator& intake, const Readiness& readiness)
      : site_(site), intake_(intake), readiness_(readiness) {}
  void Handle(const std::shared_ptr<Exchange>& exchange);

 private:
  const SiteSettings& site_;
  RequestValidator& intake_;
  const Readiness& readiness_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_PLATFORM_PLATFORM_FRONTEND_H_
