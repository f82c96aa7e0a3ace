// The HTTP responses that all frontends share. Called on the event loop's thread.
#ifndef SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_
#define SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_

#include <memory>
#include <string>

#include "core/message.h"
#include "net/http_server.h"
#include "pipeline/admission_controller.h"

namespace sagetally {

// Returns a callback that sends the status, the reason and the Retry-After time of an admission's result as
// the response of `exchange`. The callback returns false if no response can be sent any more, for instance
// because the client has disconnected, or if the request is a copy whose response the client would take for
// that to its next request. The exchange then ends without one.
AdmissionCallback MakeResponder(std::shared_ptr<Exchange> exchange);

// Responds with the status 400 and the text `problem`, which says what is wrong with the request.
void RespondBadRequest(Exchange& exchange, const std::string& problem);

// Responds to a request that is not a POST, and therefore submits no message. GET /healthz reports `ready`;
// any other path or method is an error. Returns false and does not respond if the request is a POST.
bool RespondToOtherPath(Exchange& exchange, bool ready);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_
