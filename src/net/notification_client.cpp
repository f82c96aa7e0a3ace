#include "net/notification_client.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "config/json.h"

namespace sagetally {
namespace {

constexpr Duration kResponseTimeout = std::chrono::milliseconds(500);  // the platform's agent answers at once
constexpr std::size_t kMaxResponseBytes = 64 * 1024;
constexpr int kFirstClientError = 400;
constexpr int kLastClientError = 499;
constexpr int kRequestTimeout = 408;
constexpr int kTooEarly = 425;
constexpr int kTooManyRequests = 429;

bool IsSuccess(int status) { return status >= 200 && status <= 299; }

// Returns whether a response with this HTTP status rejects the content of the request, so that the same
// content would be rejected again.
bool IsRejection(int status) {
  if (status == kRequestTimeout || status == kTooEarly || status == kTooManyRequests) return false;
  return status >= kFirstClientError && status <= kLastClientError;
}

// Returns a notice in the platform's protocol: {"id":..,"status":"undeliverable"}, or the status "deferred"
// with the time in milliseconds after which the client may submit the message again.
std::string EncodePlatformNotice(const Message& message) {
  std::string line = "{\"id\":" + json::Quote(message.request.id) + ",\"status\":";
  if (message.final_status != FinalStatus::kRejected) return line + "\"undeliverable\"}\n";
  line += "\"deferred\"";
  const auto retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(message.retry_after).count();
  if (retry_after > 0) line += ",\"again_ms\":" + std::to_string(retry_after);
  return line + "}\n";
}

}  // namespace

NotificationClient::Encoding NotificationClient::PlatformEncoding() {
  Encoding encoding;
  encoding.path = "/v1/notices";
  encoding.content_type = "application/json";
  encoding.encode_message = EncodePlatformNotice;
  return encoding;
}

NotificationClient::Encoding NotificationClient::BatchEncoding(
    std::string path, std::function<std::string(const Message&)> encode_event) {
  return {std::move(path), "application/cloudevents-batch+json", "[", ",", "]", std::move(encode_event)};
}

NotificationClient::NotificationClient(EventLoop& loop, const Address& address, Encoding encoding,
                                       std::function<void(std::uint64_t)> on_acknowledged, Logger& log)
    : loop_(loop),
      address_(address),
      encoding_(std::move(encoding)),
      on_acknowledged_(std::move(on_acknowledged)),
      log_(log),
      http_client_(std::make_unique<HttpClient>(loop, kMaxResponseBytes)),
      regular_timer_(loop, [this] { Post(BatchKind::kRegular); }),
      suspects_timer_(loop, [this] { Post(BatchKind::kSuspects); }) {}

NotificationClient::~NotificationClient() = default;

void NotificationClient::Notify(const Message& message) {
  queue_.Add(message.number, {message.request.id, encoding_.encode_message(message)});
  SchedulePosts();
}

void NotificationClient::ChangeAddress(const Address& address) {
  address_ = address;
  http_client_ = std::make_unique<HttpClient>(loop_, kMaxResponseBytes);
  queue_.Restart();
  SchedulePosts();
}

void NotificationClient::Shutdown() {
  queue_.Clear();
  http_client_.reset();
  regular_timer_.Stop();
  suspects_timer_.Stop();
}

void NotificationClient::SchedulePosts() {
  const auto now = std::chrono::steady_clock::now();
  const auto regular_delay = queue_.DelayUntilNextBatch(BatchKind::kRegular, now);
  if (regular_delay) regular_timer_.Schedule(*regular_delay);
  const auto suspects_delay = queue_.DelayUntilNextBatch(BatchKind::kSuspects, now);
  if (suspects_delay) suspects_timer_.Schedule(*suspects_delay);
}

void NotificationClient::Post(BatchKind kind) {
  const std::vector<std::string> notifications = queue_.TakeBatch(kind, std::chrono::steady_clock::now());
  if (notifications.empty()) return SchedulePosts();
  http_client_->Send(address_, EVHTTP_REQ_POST, encoding_.path, {{"Content-Type", encoding_.content_type}},
                     EncodeBatch(notifications), kResponseTimeout,
                     [this, kind](const HttpResult& result) { OnResult(kind, result); });
}

std::string NotificationClient::EncodeBatch(const std::vector<std::string>& notifications) const {
  return fmt::format("{}{}{}", encoding_.prefix, fmt::join(notifications, encoding_.separator),
                     encoding_.suffix);
}

void NotificationClient::OnResult(BatchKind kind, const HttpResult& result) {
  if (IsSuccess(result.status_code)) {
    OnAcknowledged(kind);
  } else if (IsRejection(result.status_code)) {
    if (on_rejected) on_rejected();
    OnFailed(kind, result.status_code, "");
  } else if (result.status_code != 0) {
    OnFailed(kind, result.status_code, "not acknowledged");
  } else {
    OnFailed(kind, 0, result.is_timeout ? "no response in time" : "connection failed");
  }
  SchedulePosts();
}

void NotificationClient::OnAcknowledged(BatchKind kind) {
  if (std::exchange(is_failing_, false)) log_.Info("notifications.recovered");
  for (const std::uint64_t number : queue_.AcknowledgeBatch(kind)) on_acknowledged_(number);
}

void NotificationClient::OnFailed(BatchKind kind, int status, const std::string& reason) {
  const auto failure =
      reason.empty() ? NotificationQueue::Failure::kRejected : NotificationQueue::Failure::kUnavailable;
  if (const auto suspect = queue_.FailBatch(kind, failure, std::chrono::steady_clock::now())) {
    const auto retry_delay = std::chrono::duration_cast<std::chrono::milliseconds>(suspect->retry_delay);
    log_.Error("notifications.rejected", {{"id", suspect->id},
                                          {"status", status},
                                          {"failures", suspect->failures},
                                          {"retry_ms", retry_delay.count()}});
  } else if (!reason.empty() && !std::exchange(is_failing_, true)) {
    log_.Warn("notifications.failing", {{"reason", reason}});
  }
}

}  // namespace sagetally
