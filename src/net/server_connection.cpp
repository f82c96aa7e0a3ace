#include "net/server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <string_view>
#include <utility>

namespace sagetally {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

// A client is owed an error or a close within 3 s of connecting, whatever it sends or does not send.
constexpr Duration kFirstRequestTimeout = milliseconds(2500);
constexpr Duration kNextRequestTimeout = milliseconds(1500);  // from its first byte to its last
constexpr Duration kIdleTimeout = milliseconds(4000);
constexpr std::size_t kMaxUnwrittenBytes = 64 * 1024;  // of responses that the client doesn't read
// After the last response, what the client sends is discarded for a moment, so that it reads the response.
constexpr Duration kLingerTime = milliseconds(200);
constexpr std::size_t kMaxLingerBytes = 128 * 1024;
constexpr std::size_t kDiscardBufferBytes = 4096;

constexpr int kNoContent = 204;
constexpr int kRequestTimeout = 408;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string ToString(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string StatusLine(int status) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  const std::string phrase = reason.empty() ? "Other" : ToString(reason);
  return "HTTP/1.1 " + std::to_string(status) + " " + phrase + "\r\n";
}

HttpHeaders HeadersOf(const RequestReader::HttpRequest& request) {
  HttpHeaders headers;
  for (const auto& field : request) {
    headers.emplace_back(ToString(field.name_string()), ToString(field.value()));
  }
  return headers;
}

std::string PathOf(const RequestReader::HttpRequest& request) {
  std::string path = ToString(request.target());
  path.resize(std::min(path.find('?'), path.size()));
  return path;
}

}  // namespace

ServerConnection::ServerConnection(HttpServer& server, evutil_socket_t socket,
                                   const HttpServer::TransferredClient* transferred)
    : server_(server),
      buffers_(bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      timer_(server.loop_, [this] { OnTimeout(); }),
      reader_({server.limits_.max_head_bytes, server.limits_.max_body_bytes}),
      idle_since_(std::chrono::steady_clock::now()),
      last_received_at_(idle_since_) {
  bufferevent_setcb(buffers_.get(), OnReadable, OnOutputDrained, OnEvent, this);
  // Bounds what is read while a request is answered, or while a line has no end.
  bufferevent_setwatermark(buffers_.get(), EV_READ, 0, reader_.max_unparsed_bytes());
  bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
  timer_.Schedule(kFirstRequestTimeout);
  if (transferred != nullptr) ResumeTransferred(*transferred);
}

ServerConnection::~ServerConnection() { Close(HttpServer::Ending::kClosed); }

void ServerConnection::ResumeTransferred(const HttpServer::TransferredClient& transferred) {
  has_sent_requests_ = transferred.has_sent_requests;
  idle_since_ -= transferred.age;
  if (has_sent_requests_) {
    timer_.Schedule(kIdleTimeout);
  } else {
    timer_.Schedule(std::max<Duration>(kFirstRequestTimeout - transferred.age, Duration(0)));
  }
  if (transferred.bytes.empty()) return;
  evbuffer_prepend(input(), transferred.bytes.data(), transferred.bytes.size());
  ReadSoon();
}

void ServerConnection::Close(HttpServer::Ending ending) {
  if (const auto exchange = open_exchange()) exchange->client_ = nullptr;
  // A close with unread bytes is a reset, which would overtake the last response.
  char bytes[kDiscardBufferBytes];
  std::size_t discarded = 0;
  while (buffers_ && ending == HttpServer::Ending::kClosed && discarded < kMaxLingerBytes) {
    const ssize_t size = ::recv(socket(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (size <= 0) break;
    discarded += static_cast<std::size_t>(size);
  }
  buffers_.reset();
  timer_.Stop();
}

bool ServerConnection::CloseGracefully() {
  if (HasUnreadBytes()) return false;
  CloseOnceWritten();
  if (UnwrittenBytes() == 0) ::shutdown(socket(), SHUT_WR);
  return true;
}

void ServerConnection::CloseOnceWritten() {
  is_closing_ = true;
  timer_.Schedule(kLingerTime);
}

void ServerConnection::SendResponse(int status, const std::string& body, const HttpHeaders& headers) {
  const bool is_last = server_.is_closing_ || !keep_alive_ || client_has_ended_;
  std::string text = StatusLine(status);
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append("\r\n");
  if (is_last) text += "Connection: close\r\n";
  if (status != kNoContent) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  Write(text);
  last_received_at_ = std::chrono::steady_clock::now();
  idle_since_ = last_received_at_;
  exchange_.reset();
  if (is_last) return CloseOnceWritten();
  timer_.Schedule(HasUnparsedBytes() ? kNextRequestTimeout : kIdleTimeout);
  if (HasUnparsedBytes()) ReadSoon();
}

std::shared_ptr<Exchange> ServerConnection::open_exchange() const {
  auto exchange = exchange_.lock();
  return exchange && !exchange->is_closed() ? exchange : nullptr;
}

bool ServerConnection::HasUnreadBytes() const {
  char byte = 0;
  return HasUnparsedBytes() || ::recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

HttpServer::ClientToTransfer ServerConnection::DescribeForTransfer() const {
  const std::string& consumed = reader_.consumed_bytes();
  const std::size_t unparsed = evbuffer_get_length(input());
  HttpServer::ClientToTransfer client;
  client.fd = socket();
  client.has_sent_requests = has_sent_requests_;
  client.age = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - idle_since_);
  client.bytes = consumed + std::string(unparsed, '\0');
  evbuffer_copyout(input(), client.bytes.data() + consumed.size(), unparsed);
  return client;
}

void ServerConnection::Read() {
  if (HasUnparsedBytes()) last_received_at_ = std::chrono::steady_clock::now();
  while (!is_closing_ && !open_exchange() && HasUnparsedBytes()) {
    if (!ReadStep()) return;
  }
  if (is_closing_) DiscardInput();
}

// False if there is nothing more to do before something else happens.
bool ServerConnection::ReadStep() {
  if (UnwrittenBytes() > kMaxUnwrittenBytes) return false;
  if (!reader_.is_reading() && has_sent_requests_) timer_.Schedule(kNextRequestTimeout);
  switch (reader_.Read(input())) {
    case RequestReader::Step::kParsed:
      return true;
    case RequestReader::Step::kBlocked:
      return false;
    case RequestReader::Step::kExpectsContinue:
      Write(kContinue);
      return true;
    case RequestReader::Step::kComplete:
      HandleRequest();
      return true;
    case RequestReader::Step::kRejected:
      RejectRequest(reader_.rejection_status());
      return false;
  }
  return false;
}

void ServerConnection::DiscardInput() {
  const std::size_t size = evbuffer_get_length(input());
  discarded_bytes_ += size;
  evbuffer_drain(input(), size);
  if (discarded_bytes_ > kMaxLingerBytes) server_.Close(*this);
}

void ServerConnection::HandleRequest() {
  RequestReader::HttpRequest request = reader_.TakeRequest();
  has_sent_requests_ = true;
  timer_.Stop();
  keep_alive_ = request.keep_alive();
  auto exchange = std::make_shared<Exchange>(this, ToString(request.method_string()), PathOf(request),
                                             HeadersOf(request), std::move(request.body()));
  exchange_ = exchange;
  server_.handler_(std::move(exchange));
}

void ServerConnection::RejectRequest(int status) {
  reader_.Reset();
  has_sent_requests_ = true;
  is_closing_ = true;
  Write(StatusLine(status) + "Connection: close\r\nContent-Length: 0\r\n\r\n");
  CloseOnceWritten();
  Read();
}

void ServerConnection::OnTimeout() {
  if (is_closing_) return server_.Close(*this);
  if (reader_.is_reading()) return RejectRequest(kRequestTimeout);
  if (CloseGracefully()) return;
  timer_.Schedule(kNextRequestTimeout);  // the request that has come is read in this round
  if (HasUnparsedBytes()) ReadSoon();
}

// Reads what is in the buffer already: libevent reports only what is new there.
void ServerConnection::ReadSoon() { bufferevent_trigger(buffers_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS); }

void ServerConnection::Write(std::string_view text) {
  bufferevent_write(buffers_.get(), text.data(), text.size());
}

void ServerConnection::OnReadable(bufferevent*, void* self) { static_cast<ServerConnection*>(self)->Read(); }

void ServerConnection::OnOutputDrained(bufferevent*, void* self) {
  auto* connection = static_cast<ServerConnection*>(self);
  if (!connection->is_closing_) return connection->Read();
  // The client's end closes it, or the timer does.
  ::shutdown(connection->socket(), SHUT_WR);
  if (connection->client_has_ended_) connection->server_.Close(*connection);
}

void ServerConnection::OnEvent(bufferevent*, short events, void* self) {
  static_cast<ServerConnection*>(self)->OnClosedByClient(events);
}

void ServerConnection::OnClosedByClient(short events) {
  // A client that has ended its sending may still read the response to a whole request.
  if ((events & BEV_EVENT_EOF) != 0 && !IsSettled()) {
    client_has_ended_ = true;
    return;
  }
  server_.Close(*this);
}

}  // namespace sagetally
