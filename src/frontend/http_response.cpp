#include "frontend/http_response.h"

#include <utility>
#include <vector>

namespace sagetally {
namespace {

void Respond(Exchange& exchange, const AdmissionResult& answer) {
  std::vector<std::pair<std::string, std::string>> headers;
  if ((answer.status == AdmissionStatus::kRejected || answer.status == AdmissionStatus::kShuttingDown) &&
      answer.retry_after > Duration(0)) {
    headers.emplace_back("Retry-After", RetryAfter(answer.retry_after));
  }
  int code = 400;
  if (answer.status == AdmissionStatus::kAccepted) code = 202;
  if (answer.status == AdmissionStatus::kRejected) code = 429;
  if (answer.status == AdmissionStatus::kShuttingDown) code = 503;
  exchange.Respond(code, answer.reason.empty() ? "" : answer.reason + "\n", headers);
}

}  // namespace

std::string RetryAfter(Duration d) {
  const auto ms = (d.count() + 999) / 1000;
  const std::string rest = std::to_string(ms % 1000);
  return std::to_string(ms / 1000) + "." + std::string(3 - rest.size(), '0') + rest;
}

AdmissionCallback MakeResponder(std::shared_ptr<Exchange> exchange) {
  return [exchange = std::move(exchange)](const AdmissionResult& answer) {
    if (exchange->client_gone()) return false;
    Respond(*exchange, answer);
    return true;
  };
}

bool RespondToOtherPath(Exchange& exchange, bool ready) {
  const std::string method = exchange.method();
  if (method == "POST") return false;
  if (method == "GET" && exchange.path() == "/healthz") {
    exchange.Respond(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  } else {
    exchange.Respond(method == "GET" ? 404 : 405, "messages come by POST\n");
  }
  return true;
}

}  // namespace sagetally
