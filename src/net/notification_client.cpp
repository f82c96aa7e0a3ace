#include "net/notification_client.h"

#include <event2/buffer.h>

#include <chrono>
#include <utility>

#include "config/json.h"
#include "net/http_connection.h"

namespace sagetally {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kResponseTimeout = std::chrono::milliseconds(500);  // the platform's agent answers at once
constexpr std::size_t kMaxBatchNotifications = 200;
constexpr std::size_t kMaxResponseBytes = 64 * 1024;
constexpr int kBadRequest = 400;

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
  pending_[message.number] = encoding_.encode_message(message);
  if (in_flight_.empty() && !post_timer_.is_pending()) post_timer_.Schedule(Duration(0));
}

void NotificationClient::ChangeAddress(const Address& address) {
  address_ = address;
  connection_.reset();
  response_timer_.Stop();
  in_flight_.clear();
  post_timer_.Schedule(Duration(0));
}

void NotificationClient::Shutdown() {
  pending_.clear();
  in_flight_.clear();
  connection_.reset();
  post_timer_.Stop();
  response_timer_.Stop();
}

void NotificationClient::PostBatch() {
  if (pending_.empty()) return;
  // Each batch has a connection of its own. A response that comes twice, or after its batch was given up,
  // would be taken for the response to the next batch on the same connection.
  connection_ = OpenHttpConnection(loop_, address_, {kMaxResponseBytes, kMaxResponseBytes});
  evhttp_request* request = evhttp_request_new(OnResponse, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address_.host.c_str());
  evhttp_add_header(headers, "Content-Type", encoding_.content_type.c_str());
  const std::string body = TakeBatch();
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  response_timer_.Schedule(kResponseTimeout);
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_POST, encoding_.path.c_str());
}

// Returns the body of the next batch and stores its message numbers in in_flight_.
std::string NotificationClient::TakeBatch() {
  std::string body = encoding_.prefix;
  for (const auto& [number, notification] : pending_) {
    if (in_flight_.size() >= kMaxBatchNotifications) break;
    if (!in_flight_.empty()) body += encoding_.separator;
    in_flight_.push_back(number);
    body += notification;
  }
  return body + encoding_.suffix;
}

void NotificationClient::OnBatchFailed(const char* reason) {
  if (!is_failing_) log_.Warn("notifications.failing", {{"reason", reason}});
  is_failing_ = true;
  response_timer_.Stop();
  in_flight_.clear();
  post_timer_.Schedule(kRetryDelay);
}

void NotificationClient::OnResponse(evhttp_request* request, void* self) {
  auto* client = static_cast<NotificationClient*>(self);
  if (!client->response_timer_.is_pending()) return;  // the batch was given up before
  client->OnStatus(request == nullptr ? 0 : evhttp_request_get_response_code(request));
}

// Handles the HTTP status of the response; 0 means that the connection failed.
void NotificationClient::OnStatus(int status) {
  if (status == 0) return OnBatchFailed("connection failed");
  if (status == kBadRequest) log_.Error("notifications.rejected", {{"status", status}});
  if (status < 200 || status > 299) return OnBatchFailed("not acknowledged");
  if (is_failing_) log_.Info("notifications.recovered");
  is_failing_ = false;
  response_timer_.Stop();
  for (const std::uint64_t number : std::exchange(in_flight_, {})) {
    pending_.erase(number);
    on_acknowledged_(number);
  }
  if (!pending_.empty()) post_timer_.Schedule(Duration(0));
}

}  // namespace sagetally
