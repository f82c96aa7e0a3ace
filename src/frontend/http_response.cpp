#include "frontend/http_response.h"

#include <utility>
#include <vector>

namespace sagetally {
namespace {

void Respond(Exchange& exchange, const Answer& answer) {
  std::vector<std::pair<std::string, std::string>> headers;
  if ((answer.verdict == Verdict::kRefused || answer.verdict == Verdict::kStopping) &&
      answer.again > Duration(0)) {
    headers.emplace_back("Retry-After", RetryAfter(answer.again));
  }
  int code = 400;
  if (answer.verdict == Verdict::kTaken) code = 202;
  if (answer.verdict == Verdict::kRefused) code = 429;
  if (answer.verdict == Verdict::kStopping) code = 503;
  exchange.Answer(code, answer.why.empty() ? "" : answer.why + "\n", headers);
}

}  // namespace

std::string RetryAfter(Duration d) {
  const auto ms = (d.count() + 999) / 1000;
  const std::string rest = std::to_string(ms % 1000);
  return std::to_string(ms / 1000) + "." + std::string(3 - rest.size(), '0') + rest;
}

Reply ReplyTo(std::shared_ptr<Exchange> exchange) {
  return [exchange = std::move(exchange)](const Answer& answer) {
    if (exchange->gone()) return false;
    Respond(*exchange, answer);
    return true;
  };
}

bool AnsweredAside(Exchange& exchange, bool ready) {
  const std::string method = exchange.method();
  if (method == "POST") return false;
  if (method == "GET" && exchange.path() == "/healthz") {
    exchange.Answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  } else {
    exchange.Answer(method == "GET" ? 404 : 405, "messages come by POST\n");
  }
  return true;
}

}  // namespace sagetally
