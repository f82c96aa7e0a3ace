#include "net/server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <cerrno>
#include <string_view>
#include <utility>

#include "net/socket_error.h"

namespace sagetally {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

// A client must get an error or a close within 3 s of connecting, whatever it sends or does not send.
constexpr Duration kFirstRequestTimeout = milliseconds(2500);
constexpr Duration kNextRequestTimeout = milliseconds(1500);  // from a request's first byte to its last
constexpr Duration kIdleTimeout = milliseconds(4000);
// No further request is read while the client has left more bytes of responses than this unread.
constexpr std::size_t kMaxUnwrittenBytes = 8 * 1024;
// So many bytes are received ahead of the parser, unless a single line is longer.
constexpr std::size_t kMaxReadAheadBytes = 8 * 1024;
// After the last response, what the client sends is discarded for a short time. Closing the socket with
// unread bytes would reset the connection before the client has read the response.
constexpr Duration kLingerTime = milliseconds(200);
constexpr std::size_t kMaxLingerBytes = 128 * 1024;
constexpr Duration kLastResponseTimeout = milliseconds(3000);  // for the client to read the last response
constexpr std::size_t kDiscardBufferBytes = 4096;

// The memory of a connection without its requests and responses, and of a block of libevent's buffers.
constexpr std::size_t kConnectionBytes = 4096;
constexpr std::size_t kBufferBlockBytes = 4096;

constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr const char* kRejectionHeaders = "Connection: close\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Calls recv() without blocking, and again if a signal or a shortage of memory has interrupted it.
ssize_t Receive(int socket, char* bytes, std::size_t size, int flags) {
  static constexpr int kMaxAttempts = 8;
  ssize_t received = -1;
  for (int i = 0; i < kMaxAttempts; ++i) {
    received = ::recv(socket, bytes, size, flags | MSG_DONTWAIT);
    if (received >= 0 || errno == EAGAIN || errno == EWOULDBLOCK || !IsTransientSocketError(errno)) break;
  }
  return received;
}

// Returns the errno of the error that a socket has met and not reported yet; 0 if there is none.
int TakeSocketError(int socket) {
  int error_number = 0;
  socklen_t size = sizeof error_number;
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error_number, &size) == 0 ? error_number : 0;
}

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

// Returns the memory that a buffer's bytes take up. The last of its blocks is not full.
std::size_t MemoryOf(evbuffer* buffer) {
  const std::size_t size = evbuffer_get_length(buffer);
  return size == 0 ? 0 : size + kBufferBlockBytes;
}

std::size_t MemoryOf(const RequestReader::HttpRequest& request) {
  std::size_t size = request.body().size();
  for (const auto& field : request) size += RequestReader::MemoryOf(field);
  return size;
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
      number_(server.next_connection_number_++),
      client_id_(server.memory_.NextClientId()),
      buffers_(bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      resumer_(server.loop_, buffers_.get()),
      timer_(server.loop_, [this] { OnTimeout(); }),
      reader_({server.limits_.max_head_bytes, server.limits_.max_body_bytes}),
      idle_since_(std::chrono::steady_clock::now()),
      last_received_at_(idle_since_) {
  bufferevent_setcb(buffers_.get(), OnReadable, OnOutputDrained, OnEvent, this);
  LimitReadAhead(kMaxReadAheadBytes);
  bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
  timer_.Schedule(kFirstRequestTimeout);
  if (transferred != nullptr) ResumeTransferred(*transferred);
  UpdateHeldBytes();
}

ServerConnection::~ServerConnection() { Close(HttpServer::CloseReason::kServerStopped); }

void ServerConnection::ResumeTransferred(const HttpServer::TransferredClient& transferred) {
  has_sent_requests_ = transferred.has_sent_requests;
  idle_since_ -= transferred.age;
  last_received_at_ = idle_since_;
  if (has_sent_requests_) {
    timer_.Schedule(kIdleTimeout);
  } else {
    timer_.Schedule(std::max<Duration>(kFirstRequestTimeout - transferred.age, Duration(0)));
  }
  if (transferred.bytes.empty()) return;
  evbuffer_prepend(input(), transferred.bytes.data(), transferred.bytes.size());
  ReadSoon();
}

void ServerConnection::Close(HttpServer::CloseReason reason) {
  if (const auto exchange = open_exchange()) exchange->client_ = nullptr;
  // Closing a socket with unread bytes sends a reset, which may discard the last response, so unread bytes
  // are read and discarded first. There are two exceptions. If a connection between two requests is evicted
  // when the client's next request has just arrived, the reset tells the client that the request was not
  // read. If the connection was transferred, the other process reads the bytes.
  const bool discards =
      reason != HttpServer::CloseReason::kTransferred && reason != HttpServer::CloseReason::kEvicted;
  char bytes[kDiscardBufferBytes];
  std::size_t discarded = 0;
  while (buffers_ && discards && discarded < kMaxLingerBytes) {
    const ssize_t size = Receive(socket(), bytes, sizeof bytes, 0);
    if (size <= 0) break;
    discarded += static_cast<std::size_t>(size);
  }
  resumer_.Stop();
  buffers_.reset();
  reader_.Reset();
  timer_.Stop();
  server_.memory_.Update(std::exchange(held_bytes_, 0), 0);
}

HttpServer::ClosedConnection ServerConnection::Describe(HttpServer::CloseReason reason,
                                                        int error_number) const {
  HttpServer::ClosedConnection closed;
  closed.reason = reason;
  closed.error_number = error_number;
  closed.number = number_;
  closed.request_count = request_count_;
  closed.has_open_request = open_exchange() != nullptr;
  closed.unwritten_bytes = UnwrittenBytes();
  closed.unparsed_bytes = evbuffer_get_length(input());
  closed.held_bytes = held_bytes_;
  return closed;
}

bool ServerConnection::RejectPartialRequest() {
  if (!reader_.is_reading()) return false;
  if (has_sent_requests_) return true;
  const std::string text = StatusLine(kServiceUnavailable) + kRejectionHeaders;
  [[maybe_unused]] const ssize_t sent =
      ::send(socket(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  ::shutdown(socket(), SHUT_WR);
  return true;
}

bool ServerConnection::CloseGracefully() {
  if (HasUnreadBytes()) return false;
  CloseOnceWritten();
  if (UnwrittenBytes() == 0) ::shutdown(socket(), SHUT_WR);
  return true;
}

void ServerConnection::CloseOnceWritten() {
  is_closing_ = true;
  write_deadline_ = std::chrono::steady_clock::now() + kLastResponseTimeout;
  timer_.Schedule(kLingerTime);
}

void ServerConnection::SendResponse(int status, const std::string& body, const HttpHeaders& headers) {
  const auto exchange = exchange_.lock();
  if (exchange && server_.on_responded) server_.on_responded(*exchange, status, body);
  // Further requests that are already in the buffer are answered, too, unless this request itself asked to
  // close the connection.
  const bool ends_after = server_.is_closing_ || client_has_ended_ || ends_soon_;
  const bool is_repeated = exchange && exchange->is_repeated() && !exchange->is_first_request();
  const bool is_last = !keep_alive_ || gives_way_ || is_repeated || (ends_after && !HasUnparsedBytes());
  // 504 asks the client to submit the request again under the same id.
  const bool is_final = status != kGatewayTimeout;
  if (open_request_ && is_final) answered_requests_.Add(*open_request_);
  const bool is_unique = open_request_ && open_request_->is_unique;
  has_input_before_response_ = !is_unique && HasUnreadBytes();
  std::string text = StatusLine(status);
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append("\r\n");
  if (is_last) text += "Connection: close\r\n";
  if (status != kNoContent) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  Write(text);
  last_received_at_ = std::chrono::steady_clock::now();
  idle_since_ = last_received_at_;
  exchange_.reset();
  open_request_bytes_ = 0;
  UpdateHeldBytes();
  if (is_last) return CloseOnceWritten();
  timer_.Schedule(HasUnparsedBytes() ? kNextRequestTimeout : kIdleTimeout);
  if (HasUnparsedBytes()) ReadSoon();
}

// A client has one request open at a time. So a request is a copy if the client has gone on before its
// response, or if it uses an id that its client has used on this connection before.
bool ServerConnection::MayAwaitResponse(const Exchange& exchange) const {
  if (exchange.is_first_request()) return true;
  const bool is_unique = open_request_ && open_request_->is_unique;
  return !is_unique && !HasUnreadBytes();
}

void ServerConnection::DropRequest(const Exchange& exchange) {
  if (server_.on_request_dropped) server_.on_request_dropped(exchange);
  exchange_.reset();
  open_request_bytes_ = 0;
  UpdateHeldBytes();
  EndBetweenRequests();
}

// Ends the connection now if no further request has arrived, and otherwise after the response to that.
void ServerConnection::EndBetweenRequests() {
  ends_soon_ = true;
  if (is_closing_ || CloseGracefully()) return;
  timer_.Schedule(kNextRequestTimeout);
  if (HasUnparsedBytes()) ReadSoon();
}

std::shared_ptr<Exchange> ServerConnection::open_exchange() const {
  auto exchange = exchange_.lock();
  return exchange && !exchange->is_closed() ? exchange : nullptr;
}

bool ServerConnection::HasUnreadBytes() const {
  char byte = 0;
  const bool has_next_request = HasUnparsedBytes() && !reader_.is_reading();
  return has_next_request || Receive(socket(), &byte, 1, MSG_PEEK) > 0;
}

HttpServer::ClientToTransfer ServerConnection::DescribeForTransfer() const {
  const std::string received = reader_.CopyReceivedBytes();
  const std::size_t unparsed = evbuffer_get_length(input());
  HttpServer::ClientToTransfer client;
  client.fd = socket();
  client.has_sent_requests = has_sent_requests_;
  client.age = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - idle_since_);
  client.bytes = received + std::string(unparsed, '\0');
  evbuffer_copyout(input(), client.bytes.data() + received.size(), unparsed);
  return client;
}

// Reads what is in the buffer, one whole request at most, so that connections are served in turn. Returns
// whether it will be called again for what is left.
bool ServerConnection::Read() {
  if (HasUnparsedBytes()) last_received_at_ = std::chrono::steady_clock::now();
  const std::uint64_t handled = handled_requests_;
  while (!is_closing_ && !open_exchange() && HasUnparsedBytes()) {
    if (server_.is_reading_paused_) return true;
    if (handled_requests_ != handled) {
      ReadSoon();
      return true;
    }
    if (!ReadStep()) return false;
  }
  if (is_closing_) DiscardInput();
  return false;
}

// Reads one step of a request. Returns false if nothing more can be read before another event occurs.
bool ServerConnection::ReadStep() {
  if (UnwrittenBytes() > kMaxUnwrittenBytes) return false;
  // A client that has ended its input may have closed the connection, which only a write shows.
  if (client_has_ended_ && UnwrittenBytes() > 0) return false;
  if (!reader_.is_reading() && has_sent_requests_) timer_.Schedule(kNextRequestTimeout);
  switch (reader_.Read(input())) {
    case RequestReader::Step::kParsed:
      return true;
    case RequestReader::Step::kBlocked:
      if (evbuffer_get_length(input()) >= kMaxReadAheadBytes) LimitReadAhead(reader_.max_unparsed_bytes());
      return false;
    case RequestReader::Step::kExpectsContinue:
      Write(kContinue);
      return true;
    case RequestReader::Step::kComplete:
      if (CloseIfFailed()) return false;
      ++handled_requests_;
      HandleRequest();
      return true;
    case RequestReader::Step::kRejected:
      RejectRequest(reader_.rejection_status());
      return false;
  }
  return false;
}

// Closes the connection if an error shows that the client has gone. Behind unread bytes an error does not
// show, so the socket is read first, as far as the buffer takes it.
bool ServerConnection::CloseIfFailed() {
  char byte = 0;
  ssize_t size = Receive(socket(), &byte, 1, MSG_PEEK);
  while (size > 0 && ReadSocket()) size = Receive(socket(), &byte, 1, MSG_PEEK);
  if (size == 0) client_has_ended_ = true;
  // Behind the end of the input, recv() reports no error.
  const int error_number = size < 0 ? errno : TakeSocketError(socket());
  const bool has_failed = error_number != 0 && error_number != EAGAIN && error_number != EWOULDBLOCK &&
                          !IsTransientSocketError(error_number);
  if (has_failed) server_.Close(*this, HttpServer::CloseReason::kFailed, error_number);
  return has_failed;
}

// Reads from the socket without waiting for the loop. Returns whether the buffer has taken bytes.
bool ServerConnection::ReadSocket() {
  const std::size_t size = evbuffer_get_length(input());
  if (size >= kMaxReadAheadBytes) return false;
  evbuffer_unfreeze(input(), 0);  // libevent lets only itself add to its end
  const int received = evbuffer_read(input(), socket(), static_cast<int>(kMaxReadAheadBytes - size));
  evbuffer_freeze(input(), 0);
  return received > 0;
}

void ServerConnection::DiscardInput() {
  const std::size_t size = evbuffer_get_length(input());
  discarded_bytes_ += size;
  evbuffer_drain(input(), size);
  if (discarded_bytes_ <= kMaxLingerBytes) return;
  // Nothing more is read until the last response is written.
  if (UnwrittenBytes() > 0) {
    bufferevent_disable(buffers_.get(), EV_READ);
  } else {
    server_.Close(*this, HttpServer::CloseReason::kTooMuchInput);
  }
}

void ServerConnection::HandleRequest() {
  RequestReader::HttpRequest request = reader_.TakeRequest();
  if (HasAmbiguousId(request)) return RejectRequest(kBadRequest);
  open_request_ = IdentityOf(request, server_.request_identification_);
  const bool is_repeated = open_request_ && answered_requests_.Contains(*open_request_);
  if (is_repeated && IsCopy()) return DropCopy(request);
  const bool is_first_request = !has_sent_requests_;
  has_sent_requests_ = true;
  ++request_count_;
  timer_.Stop();
  LimitReadAhead(kMaxReadAheadBytes);
  keep_alive_ = request.keep_alive();
  open_request_bytes_ = MemoryOf(request);
  auto exchange = std::make_shared<Exchange>(this, ToString(request.method_string()), PathOf(request),
                                             HeadersOf(request), std::move(request.body()));
  exchange->connection_number_ = number_;
  exchange->client_id_ = client_id_;
  exchange->is_first_request_ = is_first_request;
  if (is_repeated) exchange->MarkRepeated();
  exchange_ = exchange;
  server_.handler_(std::move(exchange));
}

// Returns whether the request that was read, and that repeats one answered on this connection, is a copy that
// something on its way made. A client has had the response when it submits a request again, so it can't have
// sent one that arrived before the response was sent.
bool ServerConnection::IsCopy() const { return open_request_->is_unique || has_input_before_response_; }

// Behind a request with a unique id nothing else can follow than a copy, and the connection goes on.
void ServerConnection::DropCopy(const RequestReader::HttpRequest& request) {
  Exchange copy(nullptr, ToString(request.method_string()), PathOf(request), HeadersOf(request), "");
  copy.connection_number_ = number_;
  if (server_.on_request_dropped) server_.on_request_dropped(copy);
  if (!open_request_->is_unique) return EndBetweenRequests();
  timer_.Schedule(HasUnparsedBytes() ? kNextRequestTimeout : kIdleTimeout);
}

// A later request that can't be read is not answered, because it may be a part of an earlier one that was
// repeated on its way, and the client would take the response for that to its next request.
void ServerConnection::RejectRequest(int status) {
  reader_.Reset();
  is_closing_ = true;
  const bool is_answered = !has_sent_requests_;
  has_sent_requests_ = true;
  if (is_answered) Write(StatusLine(status) + kRejectionHeaders);
  if (server_.on_request_rejected) server_.on_request_rejected(number_, status, is_answered);
  CloseOnceWritten();
  if (UnwrittenBytes() == 0) ::shutdown(socket(), SHUT_WR);
  Read();
}

void ServerConnection::OnTimeout() {
  if (is_closing_) return CloseAfterLinger();
  if (server_.is_reading_paused_ && HasUnparsedBytes()) return timer_.Schedule(kNextRequestTimeout);
  if (reader_.is_reading()) return RejectRequest(kRequestTimeout);
  if (CloseGracefully()) return;
  timer_.Schedule(kNextRequestTimeout);  // a request has arrived and is read in this iteration of the loop
  if (HasUnparsedBytes()) ReadSoon();
}

// Closes the connection once the client has read its last response, or after kLastResponseTimeout.
void ServerConnection::CloseAfterLinger() {
  if (UnwrittenBytes() == 0) return server_.Close(*this, HttpServer::CloseReason::kResponseRead);
  if (std::chrono::steady_clock::now() >= write_deadline_) {
    return server_.Close(*this, HttpServer::CloseReason::kResponseNotRead);
  }
  timer_.Schedule(kLingerTime);
}

void ServerConnection::ContinueReading() {
  if (HasUnparsedBytes()) ReadSoon();
}

void ServerConnection::LimitReadAhead(std::size_t max_bytes) {
  bufferevent_setwatermark(buffers_.get(), EV_READ, 0, max_bytes);
}

// Schedules OnReadable() for the bytes that are already in the buffer. libevent reports only new bytes.
void ServerConnection::ReadSoon() { bufferevent_trigger(buffers_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS); }

void ServerConnection::Write(std::string_view text) {
  bufferevent_write(buffers_.get(), text.data(), text.size());
}

// Tells the server's ClientMemory what the connection holds now.
void ServerConnection::UpdateHeldBytes() {
  if (buffers_ == nullptr) return;
  const std::size_t held =
      kConnectionBytes + MemoryOf(input()) + MemoryOf(output()) + reader_.HeldBytes() + open_request_bytes_;
  server_.memory_.Update(std::exchange(held_bytes_, held), held);
}

void ServerConnection::OnReadable(bufferevent*, void* self) {
  auto* connection = static_cast<ServerConnection*>(self);
  const bool reads_on = connection->Read();
  if (connection->buffers_ == nullptr) return;
  if (connection->client_has_ended_ && !reads_on && connection->HasNoPendingResponse()) {
    return connection->server_.Close(*connection, HttpServer::CloseReason::kEndedByClient);
  }
  connection->UpdateHeldBytes();
}

void ServerConnection::OnOutputDrained(bufferevent*, void* self) {
  auto* connection = static_cast<ServerConnection*>(self);
  if (!connection->is_closing_) return OnReadable(nullptr, self);
  // The connection is closed when the client closes its side, or by timer_.
  ::shutdown(connection->socket(), SHUT_WR);
  if (!connection->client_has_ended_) return connection->timer_.Schedule(kLingerTime);
  connection->server_.Close(*connection, HttpServer::CloseReason::kEndedByClient);
}

void ServerConnection::OnEvent(bufferevent*, short events, void* self) {
  static_cast<ServerConnection*>(self)->OnSocketEvent(events);
}

void ServerConnection::OnSocketEvent(short events) {
  const int error_number = EVUTIL_SOCKET_ERROR();
  if (resumer_.ResumeIfTransient(events, error_number)) return;
  if ((events & BEV_EVENT_EOF) != 0) return OnEndOfInput();
  server_.Close(*this, HttpServer::CloseReason::kFailed, error_number);
}

// A client that has shut down its sending side may still read the responses to its complete requests.
void ServerConnection::OnEndOfInput() {
  client_has_ended_ = true;
  if (HasNoPendingResponse() && Read()) return;
  if (buffers_ == nullptr || !HasNoPendingResponse()) return;
  server_.Close(*this, HttpServer::CloseReason::kEndedByClient);
}

}  // namespace sagetally
