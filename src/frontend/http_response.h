// What both fronts say to clients in the same words.
#ifndef SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_
#define SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_

#include <memory>
#include <string>

#include "core/message.h"
#include "net/http_server.h"
#include "pipeline/admission_controller.h"

namespace sagetally {

// Seconds, decimal, for Retry-After.
std::string RetryAfter(Duration d);
// Answers with the status, text and headers of `answer`, once.
AdmissionCallback MakeResponder(std::shared_ptr<Exchange> exchange);
// Answers all that hands in no message: GET /healthz, unknown pages, other methods.
// `ready` says what /healthz tells.
bool RespondToOtherPath(Exchange& exchange, bool ready);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_
