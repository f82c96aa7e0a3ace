#include "net/notification_client.h"

#include <event2/buffer.h>

#include <utility>

#include "config/json.h"
#include "net/http_connection.h"

namespace sagetally {
namespace {

constexpr Duration kAgain = std::chrono::milliseconds(50);
constexpr Duration kUnheard = std::chrono::milliseconds(500);  // the agent answers at once
constexpr std::size_t kMostLines = 200;                        // in one post
constexpr std::size_t kMostAnswer = 64 * 1024;

std::string Line(const Message& m) {
  std::string line = "{\"id\":" + json::Quote(m.request.id) + ",\"status\":";
  if (m.final_status != FinalStatus::kRejected) return line + "\"undeliverable\"}\n";
  line += "\"deferred\"";
  const auto again = std::chrono::duration_cast<std::chrono::milliseconds>(m.retry_after).count();
  if (again > 0) line += ",\"again_ms\":" + std::to_string(again);
  return line + "}\n";
}

}  // namespace

NotificationClient::Encoding NotificationClient::PlatformEncoding() {
  return {"/v1/notices", "application/json", "", "", "", Line};
}

NotificationClient::Encoding NotificationClient::BatchEncoding(
    std::string path, std::function<std::string(const Message&)> event) {
  return {std::move(path), "application/cloudevents-batch+json", "[", ",", "]", std::move(event)};
}

NotificationClient::NotificationClient(EventLoop& loop, const Address& to, Encoding form,
                                       std::function<void(std::uint64_t)> heard, Logger& log)
    : loop_(loop),
      to_(to),
      form_(std::move(form)),
      heard_(std::move(heard)),
      log_(log),
      post_(loop, [this] { Post(); }),
      unheard_(loop, [this] { Failed("no answer"); }) {}
NotificationClient::~NotificationClient() = default;

void NotificationClient::Notify(const Message& message) {
  waiting_[message.number] = form_.line(message);
  if (out_.empty() && !post_.pending()) post_.Schedule(Duration(0));
}

void NotificationClient::ChangeAddress(const Address& to) {
  to_ = to;
  connection_.reset();
  unheard_.Stop();
  out_.clear();
  post_.Schedule(Duration(0));
}

void NotificationClient::Shutdown() {
  waiting_.clear();
  out_.clear();
  connection_.reset();
  post_.Stop();
  unheard_.Stop();
}

void NotificationClient::Post() {
  if (waiting_.empty()) return;
  // Guards a notice against the answer to an earlier post that was given up, and against a connection that
  // has fallen silent.
  if (failing_) connection_.reset();
  if (!connection_) connection_ = OpenConnection(loop_, to_, kMostAnswer, kMostAnswer);
  evhttp_request* request = evhttp_request_new(Done, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", to_.host.c_str());
  evhttp_add_header(headers, "Content-Type", form_.content_type.c_str());
  evbuffer* body = evhttp_request_get_output_buffer(request);
  std::string text = form_.open;
  for (const auto& [number, line] : waiting_) {
    if (out_.size() >= kMostLines) break;
    if (!out_.empty()) text += form_.between;
    out_.push_back(number);
    text += line;
  }
  text += form_.close;
  evbuffer_add(body, text.data(), text.size());
  unheard_.Schedule(kUnheard);
  evhttp_make_request(connection_.get(), request, EVHTTP_REQ_POST, form_.path.c_str());
}

void NotificationClient::Failed(const char* how) {
  if (!failing_) log_.Warn("notices.unheard", {{"how", how}});
  failing_ = true;
  unheard_.Stop();
  out_.clear();
  post_.Schedule(kAgain);
}

void NotificationClient::Done(evhttp_request* request, void* self) {
  auto* n = static_cast<NotificationClient*>(self);
  if (!n->unheard_.pending()) return;
  const int code = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (code == 0) return n->Failed("no connection");
  if (code == 400) n->log_.Error("notices.rejected", {{"answer", code}});
  if (code < 200 || code > 299) return n->Failed("not heard");
  if (n->failing_) n->log_.Info("notices.heard");
  n->failing_ = false;
  n->unheard_.Stop();
  for (const std::uint64_t number : std::exchange(n->out_, {})) {
    n->waiting_.erase(number);
    n->heard_(number);
  }
  if (!n->waiting_.empty()) n->post_.Schedule(Duration(0));
}

}  // namespace sagetally
