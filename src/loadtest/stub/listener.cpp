#include "loadtest/stub/listener.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <optional>
#include <stdexcept>

namespace sagetally::loadtest {

namespace http = boost::beast::http;

// One accepted connection. It reads the next request after the response to the previous one is complete.
class ListenerConnection {
 public:
  ListenerConnection(Listener& listener, evutil_socket_t fd)
      : listener_(listener),
        buffers_(bufferevent_socket_new(listener.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE)) {
    const int enabled = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    bufferevent_setcb(buffers_.get(), OnReadable, OnWritten, OnEvent, this);
    bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
  }
  ~ListenerConnection() { Detach(); }
  ListenerConnection(const ListenerConnection&) = delete;
  ListenerConnection& operator=(const ListenerConnection&) = delete;

  // Closes the socket. If a call has no complete response yet, its `on_gone` is called.
  void Detach() {
    if (!buffers_) return;
    buffers_.reset();
    if (const auto call = std::exchange(call_, nullptr)) {
      call->connection_ = nullptr;
      if (const auto on_gone = std::exchange(call->on_gone, nullptr)) on_gone();
    }
  }
  void Write(const std::string& text) { bufferevent_write(buffers_.get(), text.data(), text.size()); }
  // Ends the current call after its response is complete, and lets the next request be read.
  void CompleteCall() {
    call_->connection_ = nullptr;
    call_->on_gone = nullptr;
    call_.reset();
    bufferevent_trigger(buffers_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  void CloseOnceWritten() {
    close_after_write_ = true;
    if (evbuffer_get_length(bufferevent_get_output(buffers_.get())) == 0) listener_.Remove(*this);
  }
  void Reset() {
    const linger zero_linger{1, 0};  // makes the close send a TCP RST
    ::setsockopt(bufferevent_getfd(buffers_.get()), SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
    listener_.Remove(*this);
  }
  void Pause(bool paused) {
    if (paused) {
      bufferevent_disable(buffers_.get(), EV_READ);
    } else {
      bufferevent_enable(buffers_.get(), EV_READ);
    }
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  void StartParser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->header_limit(1 << 20);
  }

  void Read() {
    evbuffer* in = bufferevent_get_input(buffers_.get());
    while (buffers_ && !call_ && !close_after_write_ && evbuffer_get_length(in) > 0) {
      if (!parser_) StartParser();
      boost::system::error_code error;
      const std::size_t size = evbuffer_get_length(in);
      const std::size_t used = parser_->put(boost::asio::buffer(evbuffer_pullup(in, -1), size), error);
      evbuffer_drain(in, used);
      if (error && error != http::error::need_more) {
        Write("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return CloseOnceWritten();
      }
      if (!parser_->is_done()) {
        if (used == 0) return;
        continue;
      }
      DispatchRequest();
    }
  }

  void DispatchRequest() {
    http::request<http::string_body> request = parser_->release();
    parser_.reset();
    auto call = std::make_shared<Call>();
    call->method = std::string{request.method_string()};
    call->target = std::string{request.target()};
    call->body = std::move(request.body());
    for (const auto& field : request) {
      call->headers.emplace_back(std::string{field.name_string()}, std::string{field.value()});
    }
    call->connection_ = this;
    call_ = call;
    listener_.handler_(std::move(call));
  }

  static void OnReadable(bufferevent*, void* self) { static_cast<ListenerConnection*>(self)->Read(); }
  static void OnWritten(bufferevent*, void* self) {
    auto* connection = static_cast<ListenerConnection*>(self);
    if (connection->close_after_write_) connection->listener_.Remove(*connection);
  }
  static void OnEvent(bufferevent*, short, void* self) {
    auto* connection = static_cast<ListenerConnection*>(self);
    connection->listener_.Remove(*connection);
  }

  Listener& listener_;
  std::unique_ptr<bufferevent, sagetally::Free<bufferevent_free>> buffers_;
  std::optional<Parser> parser_;
  std::shared_ptr<Call> call_;
  bool close_after_write_ = false;
};

constexpr int kNoContent = 204;

std::string Call::Header(const char* name) const {
  for (const auto& [key, value] : headers) {
    if (evutil_ascii_strcasecmp(key.c_str(), name) == 0) return value;
  }
  return "";
}

bool Call::Answer(int code, const std::string& text, const Headers& more) {
  if (gone()) return false;
  const auto reason = http::obsolete_reason(static_cast<http::status>(code));
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", code, reason.empty() ? "Other" : std::string{reason});
  for (const auto& [key, value] : more) head += fmt::format("{}: {}\r\n", key, value);
  if (code != kNoContent) head += fmt::format("Content-Length: {}\r\n", text.size());
  connection_->Write(head + "\r\n" + text);
  connection_->CompleteCall();
  return true;
}

bool Call::StartChunks() { return Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
bool Call::Chunk(const std::string& text) { return Raw(fmt::format("{:x}\r\n{}\r\n", text.size(), text)); }
bool Call::EndChunks() {
  if (!Raw("0\r\n\r\n")) return false;
  connection_->CompleteCall();
  return true;
}

bool Call::Raw(const std::string& bytes) {
  if (gone()) return false;
  connection_->Write(bytes);
  return true;
}

void Call::Close() {
  if (!gone()) connection_->CloseOnceWritten();
}

void Call::Reset() {
  if (!gone()) connection_->Reset();
}

Listener::Listener(EventLoop& loop, const Address& listen_address, Handler handler)
    : loop_(loop),
      listen_address_(listen_address),
      handler_(std::move(handler)),
      cleanup_timer_(loop, [this] { removed_.clear(); }) {
  Listen();
}
Listener::~Listener() = default;

void Listener::Listen() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listen_address_.port);
  if (::inet_pton(AF_INET, listen_address_.host.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an IPv4 address: " + listen_address_.host);
  }
  listener_.reset(evconnlistener_new_bind(
      loop_.base(), OnAccepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      SOMAXCONN, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  if (!listener_)
    throw std::runtime_error("can't listen at " + listen_address_.host + ":" +
                             std::to_string(listen_address_.port));
  socklen_t size = sizeof address;
  ::getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  listen_address_.port = port_;
}

void Listener::OnAccepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* listener = static_cast<Listener*>(self);
  if (listener->connections_.size() >= listener->max_connections) {
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_unique<ListenerConnection>(*listener, fd);
  ListenerConnection* key = connection.get();
  listener->connections_[key] = std::move(connection);
}

void Listener::Remove(ListenerConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  removed_.push_back(std::move(found->second));
  connections_.erase(found);
  connection.Detach();
  cleanup_timer_.Schedule(Duration(0));
}

void Listener::SetListening(bool is_listening) {
  if (is_listening == this->is_listening()) return;
  if (is_listening) return Listen();
  listener_.reset();
  while (!connections_.empty()) connections_.begin()->second->Reset();
}

void Listener::SetPaused(bool paused) {
  if (paused == paused_) return;
  paused_ = paused;
  if (listener_) {
    if (paused) {
      evconnlistener_disable(listener_.get());
    } else {
      evconnlistener_enable(listener_.get());
    }
  }
  for (const auto& [key, connection] : connections_) connection->Pause(paused);
}

}  // namespace sagetally::loadtest
