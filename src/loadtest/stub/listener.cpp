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

class Peer {
 public:
  Peer(Listener& listener, evutil_socket_t fd)
      : listener_(listener),
        buffers_(bufferevent_socket_new(listener.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE)) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(buffers_.get(), Readable, Written, Happened, this);
    bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
  }
  ~Peer() { Leave(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  // The connection's end: whoever has a call out hears of it.
  void Leave() {
    if (!buffers_) return;
    buffers_.reset();
    if (const auto call = std::exchange(call_, nullptr)) {
      call->peer_ = nullptr;
      if (const auto told = std::exchange(call->on_gone, nullptr)) told();
    }
  }
  void Write(const std::string& text) { bufferevent_write(buffers_.get(), text.data(), text.size()); }
  void Over() {  // the call is answered; the next request may be read
    call_->peer_ = nullptr;
    call_->on_gone = nullptr;
    call_.reset();
    bufferevent_trigger(buffers_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  void CloseOnceWritten() {
    closing_ = true;
    if (evbuffer_get_length(bufferevent_get_output(buffers_.get())) == 0) listener_.Drop(*this);
  }
  void Reset() {
    const linger none{1, 0};
    ::setsockopt(bufferevent_getfd(buffers_.get()), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    listener_.Drop(*this);
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

  void Read() {
    evbuffer* in = bufferevent_get_input(buffers_.get());
    while (buffers_ && !call_ && !closing_ && evbuffer_get_length(in) > 0) {
      if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->header_limit(1 << 20);
      }
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
      HandOver();
    }
  }

  void HandOver() {
    http::request<http::string_body> request = parser_->release();
    parser_.reset();
    auto call = std::make_shared<Call>();
    call->method = std::string(request.method_string());
    call->target = std::string(request.target());
    call->body = std::move(request.body());
    for (const auto& field : request) {
      call->headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    call->peer_ = this;
    call_ = call;
    listener_.handler_(std::move(call));
  }

  static void Readable(bufferevent*, void* self) { static_cast<Peer*>(self)->Read(); }
  static void Written(bufferevent*, void* self) {
    auto* p = static_cast<Peer*>(self);
    if (p->closing_) p->listener_.Drop(*p);
  }
  static void Happened(bufferevent*, short, void* self) {
    auto* p = static_cast<Peer*>(self);
    p->listener_.Drop(*p);
  }

  Listener& listener_;
  std::unique_ptr<bufferevent, sagetally::Free<bufferevent_free>> buffers_;
  std::optional<Parser> parser_;
  std::shared_ptr<Call> call_;
  bool closing_ = false;
};

std::string Call::Header(const char* name) const {
  for (const auto& [key, value] : headers) {
    if (evutil_ascii_strcasecmp(key.c_str(), name) == 0) return value;
  }
  return "";
}

bool Call::Answer(int code, const std::string& text, const Headers& more) {
  if (gone()) return false;
  const auto reason = http::obsolete_reason(static_cast<http::status>(code));
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", code, reason.empty() ? "Other" : std::string(reason));
  for (const auto& [key, value] : more) head += key + ": " + value + "\r\n";
  if (code != 204) head += fmt::format("Content-Length: {}\r\n", text.size());
  peer_->Write(head + "\r\n" + text);
  peer_->Over();
  return true;
}

bool Call::StartChunks() { return Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
bool Call::Chunk(const std::string& text) { return Raw(fmt::format("{:x}\r\n{}\r\n", text.size(), text)); }
bool Call::EndChunks() {
  if (!Raw("0\r\n\r\n")) return false;
  peer_->Over();
  return true;
}

bool Call::Raw(const std::string& bytes) {
  if (gone()) return false;
  peer_->Write(bytes);
  return true;
}

void Call::Close() {
  if (!gone()) peer_->CloseOnceWritten();
}

void Call::Reset() {
  if (!gone()) peer_->Reset();
}

Listener::Listener(EventLoop& loop, const Address& at, Handler handler)
    : loop_(loop), at_(at), handler_(std::move(handler)), sweep_(loop, [this] { dropped_.clear(); }) {
  Listen();
}
Listener::~Listener() = default;

void Listener::Listen() {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(at_.port);
  if (::inet_pton(AF_INET, at_.host.c_str(), &at.sin_addr) != 1)
    throw std::runtime_error("no address: " + at_.host);
  listener_.reset(evconnlistener_new_bind(loop_.base(), Accepted, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                          SOMAXCONN, reinterpret_cast<const sockaddr*>(&at), sizeof at));
  if (!listener_) throw std::runtime_error("can't listen at " + at_.host + ":" + std::to_string(at_.port));
  socklen_t size = sizeof at;
  ::getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
  at_.port = port_ = ntohs(at.sin_port);
}

void Listener::Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* l = static_cast<Listener*>(self);
  if (l->peers_.size() >= l->most_connections) {
    evutil_closesocket(fd);
    return;
  }
  auto peer = std::make_unique<Peer>(*l, fd);
  Peer* key = peer.get();
  l->peers_[key] = std::move(peer);
}

void Listener::Drop(Peer& peer) {
  const auto at = peers_.find(&peer);
  if (at == peers_.end()) return;
  dropped_.push_back(std::move(at->second));
  peers_.erase(at);
  peer.Leave();
  sweep_.Schedule(Duration(0));
}

void Listener::SetUp(bool up) {
  if (up == this->up()) return;
  if (up) return Listen();
  listener_.reset();
  while (!peers_.empty()) peers_.begin()->second->Reset();
}

void Listener::SetPaused(bool paused) {
  if (paused == paused_) return;
  paused_ = paused;
  if (listener_) paused ? evconnlistener_disable(listener_.get()) : evconnlistener_enable(listener_.get());
  for (const auto& [key, peer] : peers_) peer->Pause(paused);
}

}  // namespace sagetally::loadtest
