#include "net/endpoint_call_codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>

#include "net/http_parsing.h"

namespace sagetally {
namespace {

// Names on the wire. Only this file uses them.
constexpr char kCallPath[] = "/hook";
constexpr char kMessageIdHeader[] = "X-Request-Id";
constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
constexpr char kDeadlineHeader[] = "X-Deadline";
constexpr char kLoadHeader[] = "X-Load";
constexpr char kRetryAfterHeader[] = "X-Retry-In-Ms";
constexpr char kNotStartedHeader[] = "X-No-Slot";  // "1" if the endpoint did not start the call
constexpr std::string_view kQuotaLeftField = "x0=";
constexpr std::string_view kRateLimitField = "x1=";

constexpr double kMaxRetryAfterMs = 1e9;
constexpr double kMicrosecondsPerMs = 1000;

// Parses a finite, non-negative number that takes up the whole text.
std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || end != text_end || !std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

std::string HeaderLine(std::string_view name, std::string_view value) {
  return std::string(name) + ": " + std::string(value) + "\r\n";
}

Duration DecodeRetryAfter(const EndpointResponse& response) {
  const double milliseconds = ParseNumber(FieldValue(response, kRetryAfterHeader)).value_or(0);
  return Duration(std::llround(std::min(milliseconds, kMaxRetryAfterMs) * kMicrosecondsPerMs));
}

}  // namespace

std::string EncodeCall(const CallRequest& call, const std::string& host) {
  const Request& request = *call.request;
  std::string text = "POST " + std::string(kCallPath) + " HTTP/1.1\r\n";
  text += HeaderLine("Host", host);
  text += HeaderLine(kMessageIdHeader, request.id);
  if (!request.idempotency_key.empty()) text += HeaderLine(kIdempotencyKeyHeader, request.idempotency_key);
  text += HeaderLine(kDeadlineHeader, FormatDeadline(call.timeout));
  for (const auto& [name, value] : request.attributes) text += HeaderLine(name, value);
  text += HeaderLine("Content-Length", std::to_string(request.body.size()));
  return text + "\r\n" + request.body;
}

CallResult DecodeCallResult(const EndpointResponse& response) {
  CallResult result;
  result.load_report = ParseLoadReport(FieldValue(response, kLoadHeader));
  switch (const unsigned status = response.result_int()) {
    case 429:
      result.outcome = Outcome::kRejected;
      result.retry_after = DecodeRetryAfter(response);
      break;
    case 503:
      result.outcome =
          FieldValue(response, kNotStartedHeader) == "1" ? Outcome::kNotSent : Outcome::kRejected;
      break;
    case 504:
      result.outcome = Outcome::kNotSent;
      break;
    case 410:
      result.outcome = Outcome::kNotSent;
      result.message_expired = true;
      break;
    default:
      result.outcome = status >= 200 && status < 300 ? Outcome::kOk : Outcome::kError;
  }
  return result;
}

std::size_t Fingerprint(const EndpointResponse& response) {
  std::string text = std::to_string(response.result_int());
  for (const auto& field : response) {
    text += HeaderLine(std::string{field.name_string()}, std::string{field.value()});
  }
  text += "\r\n" + response.body();
  return std::hash<std::string>()(text);
}

LoadReport ParseLoadReport(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::string_view field = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    while (field.starts_with(' ')) field.remove_prefix(1);
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) return {};
    const std::optional<double> value = ParseNumber(field.substr(equals + 1));
    if (!value) return {};
    if (field.starts_with(kQuotaLeftField)) report.quota_left = *value;
    if (field.starts_with(kRateLimitField)) report.rate_limit = *value;
  }
  return report;
}

std::string FormatDeadline(Duration time_left) {
  const std::int64_t milliseconds = std::chrono::floor<std::chrono::milliseconds>(time_left).count();
  return std::to_string(std::max<std::int64_t>(1, milliseconds)) + "m";
}

}  // namespace sagetally
