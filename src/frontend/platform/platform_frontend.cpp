#include "frontend/platform/platform_frontend.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "frontend/http_response.h"

namespace sagetally {

std::optional<Duration> ParseDeadline(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || !(value >= 0) || value > 1e12) return std::nullopt;
  const std::string_view unit(at, static_cast<std::size_t>(end - at));
  if (unit == "m") return Duration(static_cast<std::int64_t>(value * 1000));
  if (unit == "u") return Duration(static_cast<std::int64_t>(value));
  return std::nullopt;
}

std::optional<int> ParseDestination(std::string_view envelope) {
  while (!envelope.empty()) {
    const std::size_t comma = std::min(envelope.find_first_of(",; "), envelope.size());
    std::string_view part = envelope.substr(0, comma);
    envelope.remove_prefix(std::min(comma + 1, envelope.size()));
    if (!part.starts_with("dest=")) continue;
    part.remove_prefix(5);
    int value = 0;
    const auto [at, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error == std::errc() && at == part.data() + part.size() && !part.empty() && value >= 0) return value;
    return std::nullopt;
  }
  return std::nullopt;
}

std::string ParsePlatformRequest(const Exchange& exchange, const SiteSettings& site, Request& request) {
  const std::string name = exchange.Header("X-Class");
  const std::string path = exchange.path();
  const std::string first = path.empty() ? "" : path.substr(1, path.find('/', 1) - 1);
  // Guards against taking on what names two classes, or one and nonsense.
  if (!name.empty() && name != first) return "X-Class and the path name different classes";
  const auto at = std::find(site.classes.begin(), site.classes.end(), first);
  if (at == site.classes.end()) return "unknown class in the path";
  request.message_class = static_cast<int>(at - site.classes.begin());
  request.id = exchange.Header("X-Request-Id");
  if (request.id.empty()) return "X-Request-Id is missing";
  const auto left = ParseDeadline(exchange.Header("X-Deadline"));
  if (!left) return "X-Deadline is missing or no number with the unit m or u";
  request.time_left = *left;
  const auto destination = ParseDestination(exchange.Header("X-Envelope"));
  if (!destination) return "X-Envelope names no dest";
  request.destination = *destination;
  request.idempotency_key = exchange.Header("Idempotency-Key");
  request.body = exchange.body();
  return "";
}

void PlatformFrontend::Handle(const std::shared_ptr<Exchange>& exchange) {
  if (RespondToOtherPath(*exchange, readiness_.IsReady())) return;
  Request request;
  if (const std::string problem = ParsePlatformRequest(*exchange, site_, request); !problem.empty()) {
    exchange->Respond(400, problem + "\n");
    return;
  }
  std::vector<Request> one;
  one.push_back(std::move(request));
  intake_.Submit(std::move(one), MakeResponder(exchange));
}

}  // namespace sagetally
