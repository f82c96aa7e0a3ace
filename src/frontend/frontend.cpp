#include "frontend/frontend.h"

#include <exception>
#include <utility>

#include "frontend/http_response.h"

namespace sagetally {

void Frontend::Handle(const std::shared_ptr<Exchange>& exchange) {
  if (RespondToOtherPath(*exchange, readiness_.IsReady())) return;
  std::vector<Request> requests;
  try {
    requests = ParseRequests(*exchange);
  } catch (const std::exception& error) {
    RespondBadRequest(*exchange, error.what());
    return;
  }
  validator_.Submit(std::move(requests), MakeResponder(exchange), exchange->client_id());
}

}  // namespace sagetally
