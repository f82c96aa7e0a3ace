// The part of the frontends that does not depend on their protocol. A frontend converts an HTTP request to
// core requests and submits them together, or responds that the HTTP request is malformed. Called on the
// event loop's thread.
#ifndef SAGETALLY_SRC_FRONTEND_FRONTEND_H_
#define SAGETALLY_SRC_FRONTEND_FRONTEND_H_

#include <memory>
#include <vector>

#include "admin/readiness.h"
#include "config/settings.h"
#include "core/message.h"
#include "net/http_server.h"
#include "pipeline/request_validator.h"

namespace sagetally {

// Base class of the frontends, which implement ParseRequests() for their protocols.
class Frontend {
 public:
  // The arguments must outlive the frontend.
  Frontend(const SiteSettings& site, RequestValidator& validator, const Readiness& readiness)
      : site_(site), validator_(validator), readiness_(readiness) {}
  virtual ~Frontend() = default;
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  // Handles one HTTP request. The response may be sent after this function has returned.
  void Handle(const std::shared_ptr<Exchange>& exchange);

 protected:
  const SiteSettings& site() const { return site_; }

 private:
  // Returns the core requests that the HTTP request of `exchange` contains. Throws FormatError with a text
  // for the client if it is malformed.
  virtual std::vector<Request> ParseRequests(const Exchange& exchange) const = 0;

  const SiteSettings& site_;
  RequestValidator& validator_;
  const Readiness& readiness_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_FRONTEND_H_
