#include "frontend/platform/platform_frontend.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/format_error.h"
#include "config/parse_number.h"

namespace sagetally {
namespace {

// The names of the platform's HTTP headers.
constexpr const char* kClassHeader = "X-Class";
constexpr const char* kIdHeader = "X-Request-Id";
constexpr const char* kDeadlineHeader = "X-Deadline";
constexpr const char* kEnvelopeHeader = "X-Envelope";
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";

constexpr std::string_view kDestinationPrefix = "dest=";  // in the X-Envelope header

std::string FirstPathSegment(const std::string& path) {
  return path.empty() ? "" : path.substr(1, path.find('/', 1) - 1);
}

// Returns the class that the path names. The X-Class header is optional but must not name another class.
int ParseClass(const Exchange& exchange, const SiteSettings& site) {
  const std::string in_header = exchange.Header(kClassHeader);
  const std::string in_path = FirstPathSegment(exchange.path());
  if (!in_header.empty() && in_header != in_path) {
    throw FormatError("X-Class and the path name different classes", {kClassHeader, in_path, in_header});
  }
  const std::optional<int> message_class = FindName(site.classes, in_path);
  if (!message_class) throw FormatError("unknown class in the path", {"path", "a class", in_path});
  return *message_class;
}

}  // namespace

std::optional<Duration> ParseDeadline(std::string_view text) {
  static constexpr double kMaxValue = 1e12;
  static constexpr double kMicrosecondsPerMillisecond = 1000;
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [number_end, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || !(value >= 0) || value > kMaxValue) return std::nullopt;
  const std::string_view unit(number_end, static_cast<std::size_t>(end - number_end));
  if (unit == "m") return Duration(static_cast<std::int64_t>(value * kMicrosecondsPerMillisecond));
  if (unit == "u") return Duration(static_cast<std::int64_t>(value));
  return std::nullopt;
}

std::optional<int> ParseDestination(std::string_view envelope) {
  while (!envelope.empty()) {
    const std::size_t part_end = std::min(envelope.find_first_of(",; "), envelope.size());
    std::string_view part = envelope.substr(0, part_end);
    envelope.remove_prefix(std::min(part_end + 1, envelope.size()));
    if (!part.starts_with(kDestinationPrefix)) continue;
    part.remove_prefix(kDestinationPrefix.size());
    const std::optional<int> destination = ParseNumber<int>(part);
    return destination && *destination >= 0 ? destination : std::nullopt;
  }
  return std::nullopt;
}

Request ParsePlatformRequest(const Exchange& exchange, const SiteSettings& site) {
  Request request;
  request.message_class = ParseClass(exchange, site);
  request.id = exchange.Header(kIdHeader);
  if (request.id.empty()) throw FormatError("X-Request-Id is missing", {kIdHeader, "an id", "nothing"});
  const std::string deadline = exchange.Header(kDeadlineHeader);
  const std::optional<Duration> time_left = ParseDeadline(deadline);
  if (!time_left) {
    throw FormatError("X-Deadline is missing or no number with the unit m or u",
                      {kDeadlineHeader, "a number with the unit m or u", deadline});
  }
  request.time_left = *time_left;
  const std::string envelope = exchange.Header(kEnvelopeHeader);
  const std::optional<int> destination = ParseDestination(envelope);
  if (!destination) {
    throw FormatError("X-Envelope names no dest", {kEnvelopeHeader, "dest=NUMBER", envelope});
  }
  request.destination = *destination;
  request.idempotency_key = exchange.Header(kIdempotencyKeyHeader);
  request.body = exchange.body();
  return request;
}

std::string ParsePlatformRequest(const Exchange& exchange, const SiteSettings& site, Request& request) {
  try {
    request = ParsePlatformRequest(exchange, site);
    return "";
  } catch (const FormatError& error) {
    return error.what();
  }
}

std::vector<Request> PlatformFrontend::ParseRequests(const Exchange& exchange) const {
  std::vector<Request> requests;
  requests.push_back(ParsePlatformRequest(exchange, site()));
  return requests;
}

}  // namespace sagetally
