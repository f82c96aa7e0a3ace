#include "net/notification_client.h"

#include <event2/buffer.h>

#include <chrono>
#include <optional>
#include <utility>

#include "config/json.h"
#include "net/http_connection.h"

namespace sagetally {
namespace {

constexpr Duration kResponseTimeout = std::chrono::milliseconds(500);  // the platform's agent answers at once
constexpr std::size_t kMaxResponseBytes = 64 * 1024;
constexpr int kFirstClientError = 400;
constexpr int kLastClientError = 499;
constexpr int kRequestTimeout = 408;
constexpr int kTooEarly = 425;
constexpr int kTooManyRequests = 429;

std::chrono::steady_clock::time_point Now() { return std::chrono::steady_clock::now(); }

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
      post_timer_(loop, [this] { PostBatch(); }),
      response_timer_(loop, [this] { OnBatchFailed("no response in time"); }) {}

NotificationClient::~NotificationClient() = default;

void NotificationClient::Notify(const Message& message) {
  queue_.Add(message.number, {message.request.id, encoding_.encode_message(message)});
  SchedulePost();
}

void NotificationClient::ChangeAddress(const Address& address) {
  address_ = address;
  connection_.reset();
  response_timer_.Stop();
  queue_.Restart();
  SchedulePost();
}

void NotificationClient::Shutdown() {
  queue_.Clear();
  connection_.reset();
  post_timer_.Stop();
  response_timer_.Stop();
}

// Schedules the next batch for when it is due. Does nothing while a batch is in flight.
void NotificationClient::SchedulePost() {
  if (const std::optional<Duration> delay = queue_.DelayUntilNextBatch(Now())) post_timer_.Schedule(*delay);
}

void NotificationClient::PostBatch() {
  const std::vector<std::string> notifications = queue_.TakeBatch(Now());
  if (notifications.empty()) return SchedulePost();
  // Each batch has a connection of its own. A response that comes twice, or after its batch was given up,
  // would be taken for the response to the next batch on the same connection.
  connection_ = OpenHttpConnection(loop_, address_, {kMaxResponseBytes, kMaxResponseBytes});
  evhttp_request* request = evhttp_request_new(OnResponse, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address_.host.c_str());
  evhttp_add_header(headers, "Content-Type", encoding_.content_type.c_str());
  const std::string body = EncodeBatch(notifications);
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  response_timer_.Schedule(kResponseTimeout);
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_POST, encoding_.path.c_str());
}

std::string NotificationClient::EncodeBatch(const std::vector<std::string>& notifications) const {
  std::string body = encoding_.prefix;
  for (const std::string& notification : notifications) {
    if (&notification != &notifications.front()) body += encoding_.separator;
    body += notification;
  }
  return body + encoding_.suffix;
}

void NotificationClient::OnBatchFailed(const char* reason) {
  if (!is_failing_) log_.Warn("notifications.failing", {{"reason", reason}});
  is_failing_ = true;
  FailBatch(NotificationQueue::Failure::kUnavailable, 0);
}

void NotificationClient::OnBatchRejected(int status) {
  if (on_rejected) on_rejected();
  FailBatch(NotificationQueue::Failure::kRejected, status);
}

void NotificationClient::FailBatch(NotificationQueue::Failure failure, int status) {
  response_timer_.Stop();
  if (const auto suspect = queue_.FailBatch(failure, Now())) {
    log_.Error(
        "notifications.rejected",
        {{"id", suspect->id},
         {"status", status},
         {"failures", suspect->failures},
         {"retry_ms", std::chrono::duration_cast<std::chrono::milliseconds>(suspect->retry_delay).count()}});
  }
  SchedulePost();
}

void NotificationClient::OnResponse(evhttp_request* request, void* self) {
  auto* client = static_cast<NotificationClient*>(self);
  if (!client->response_timer_.is_pending()) return;  // the batch was given up before
  client->OnStatus(request == nullptr ? 0 : evhttp_request_get_response_code(request));
}

// Handles the HTTP status of the response; 0 means that the connection failed.
void NotificationClient::OnStatus(int status) {
  if (status == 0) return OnBatchFailed("connection failed");
  if (IsRejection(status)) return OnBatchRejected(status);
  if (status < 200 || status > 299) return OnBatchFailed("not acknowledged");
  if (is_failing_) log_.Info("notifications.recovered");
  is_failing_ = false;
  response_timer_.Stop();
  for (const std::uint64_t number : queue_.AcknowledgeBatch()) on_acknowledged_(number);
  SchedulePost();
}

}  // namespace sagetally
