#include "frontend/http_response.h"

#include <utility>

namespace sagetally {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

int StatusCode(AdmissionStatus status) {
  switch (status) {
    case AdmissionStatus::kAccepted:
      return kAccepted;
    case AdmissionStatus::kRejected:
      return kTooManyRequests;
    case AdmissionStatus::kShuttingDown:
      return kServiceUnavailable;
    case AdmissionStatus::kWithdrawn:
      return kConflict;
    case AdmissionStatus::kInvalid:
      break;
  }
  return kBadRequest;
}

// Returns the time in seconds with three decimals, rounded up.
std::string FormatRetryAfter(Duration retry_after) {
  const auto milliseconds = (retry_after.count() + 999) / 1000;
  const std::string fraction = std::to_string(milliseconds % 1000);
  return std::to_string(milliseconds / 1000) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

bool Respond(Exchange& exchange, const AdmissionResult& result) {
  Exchange::Headers headers;
  const bool may_be_resubmitted =
      result.status == AdmissionStatus::kRejected || result.status == AdmissionStatus::kShuttingDown;
  if (may_be_resubmitted && result.retry_after > Duration(0)) {
    headers.emplace_back("Retry-After", FormatRetryAfter(result.retry_after));
  }
  return exchange.Respond(StatusCode(result.status), result.reason.empty() ? "" : result.reason + "\n",
                          headers);
}

}  // namespace

AdmissionCallback MakeResponder(std::shared_ptr<Exchange> exchange) {
  return [exchange = std::move(exchange)](const AdmissionResult& result) {
    if (result.is_repeat) exchange->MarkRepeated();
    return Respond(*exchange, result);
  };
}

void RespondBadRequest(Exchange& exchange, const std::string& problem) {
  exchange.Respond(kBadRequest, problem + "\n");
}

bool RespondToOtherPath(Exchange& exchange, bool ready) {
  const std::string& method = exchange.method();
  if (method == "POST") return false;
  if (method == "GET" && exchange.path() == "/healthz") {
    exchange.Respond(ready ? kOk : kServiceUnavailable, ready ? "ready\n" : "not ready\n");
  } else {
    exchange.Respond(method == "GET" ? kNotFound : kMethodNotAllowed, "messages come by POST\n");
  }
  return true;
}

}  // namespace sagetally
