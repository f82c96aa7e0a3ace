// The HTTP responses that all frontends give alike. Called on the event loop's thread.
#ifndef SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_
#define SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_

#include <memory>
#include <string>

#include "core/message.h"
#include "net/http_server.h"
#include "pipeline/admission_controller.h"

namespace sagetally {

// Returns a callback that responds with the status, the reason and the Retry-After of the admission's result,
// once. The callback returns false if the client has gone.
AdmissionCallback MakeResponder(std::shared_ptr<Exchange> exchange);

// Responds with 400 and what is wrong with the request.
void RespondBadRequest(Exchange& exchange, const std::string& problem);

// Responds to a request that submits no message: GET /healthz, unknown paths, other methods. Returns false if
// it is one that may submit messages, and then doesn't respond. `ready` is what /healthz reports.
bool RespondToOtherPath(Exchange& exchange, bool ready);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_HTTP_RESPONSE_H_
