// What all frontends do with an HTTP request: it becomes core requests, which are submitted together, or is
// answered as malformed. Frontends differ in how they parse. Called on the event loop's thread.
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

// Base of the frontends.
class Frontend {
 public:
  // All three must outlive the frontend.
  Frontend(const SiteSettings& site, RequestValidator& validator, const Readiness& readiness)
      : site_(site), validator_(validator), readiness_(readiness) {}
  virtual ~Frontend() = default;
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  // Takes one HTTP request; its response may follow later.
  void Handle(const std::shared_ptr<Exchange>& exchange);

 protected:
  const SiteSettings& site() const { return site_; }

 private:
  // Returns the requests of an exchange. Throws FormatError that says what is wrong with it.
  virtual std::vector<Request> ParseRequests(const Exchange& exchange) const = 0;

  const SiteSettings& site_;
  RequestValidator& validator_;
  const Readiness& readiness_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_FRONTEND_H_
