// CloudEvents over HTTP as core requests.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUDEVENTS_FRONTEND_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUDEVENTS_FRONTEND_H_

#include <memory>
#include <string>

#include "admin/readiness.h"
#include "core/message.h"
#include "frontend/cloudevents/cloud_event.h"
#include "net/http_server.h"
#include "pipeline/request_validator.h"

namespace sagetally {

class CloudEventsFrontend {
 public:
  static constexpr std::size_t kMaxHeadBytes = 32 * 1024;  // attributes travel there
  CloudEventsFrontend(const SiteSettings& site, RequestValidator& intake, const Readiness& readiness)
      : site_(site), intake_(intake), readiness_(readiness) {}
  void Handle(const std::shared_ptr<Exchange>& exchange);

 private:
  const SiteSettings& site_;
  RequestValidator& intake_;
  const Readiness& readiness_;
};

// The result event (structured JSON) that tells how an event's message ended.
std::string MakeResultEvent(const Message& message, const std::string& node);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_CLOUDEVENTS_FRONTEND_H_
