#include "net/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace sagetally {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

// A client is owed an error or a close within 3 s of connecting, whatever it sends or does not send.
constexpr Duration kFirstRequest = milliseconds(2500);
constexpr Duration kNextRequest = milliseconds(1500);  // from its first byte to its last
constexpr Duration kIdle = milliseconds(4000);
// A client that connects to ask does so at once: one that is mute for longer goes before all others.
constexpr auto kMute = milliseconds(100);
constexpr std::size_t kMostUnwritten = 64 * 1024;  // answers that a client doesn't read
// After an error the rest of what the client sends is read away for a moment, so that it hears the answer.
constexpr Duration kLinger = milliseconds(200);
constexpr std::size_t kMostLinger = 128 * 1024;
constexpr Duration kListenAgain = milliseconds(50);

const char* ReasonPhrase(int code) {
  const auto text = http::obsolete_reason(static_cast<http::status>(code));
  return text.empty() ? "Other" : text.data();
}

// Guards against requests whose end two readers may see in different places, so that another one hides in the
// body: the parser lets a length be repeated, and other codings than chunked stand.
bool GoodHead(const http::fields& fields) {
  static constexpr std::string_view kDigits = "0123456789";
  int lengths = 0;
  for (const auto& field : fields) {
    const std::string_view value(field.value().data(), field.value().size());
    if (field.name() == http::field::content_length) {
      ++lengths;
      if (value.empty() || value.find_first_not_of(kDigits) != value.npos) return false;
    } else if (field.name() == http::field::transfer_encoding) {
      ++lengths;
      if (!boost::beast::iequals(field.value(), "chunked")) return false;
    }
  }
  return lengths <= 1;
}

bool ListensAt(const FileDescriptor& fd, const sockaddr_in& wanted) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (fd.get() < 0 || getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) return false;
  return address.sin_addr.s_addr == wanted.sin_addr.s_addr &&
         (wanted.sin_port == 0 || address.sin_port == wanted.sin_port);
}

}  // namespace

// One client's connection: read request by request, answered in between.
class ServerConnection {
 public:
  ServerConnection(HttpServer& server, evutil_socket_t fd,
                   const HttpServer::TransferredClient* passed = nullptr)
      : server_(server),
        buffers_(bufferevent_socket_new(server.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
        timer_(server.loop_, [this] { TimedOut(); }) {
    bufferevent_setcb(buffers_.get(), Readable, Written, Happened, this);
    // Bounds what is read while a request is answered, or a line of it has no end.
    bufferevent_setwatermark(buffers_.get(), EV_READ, 0, Most());
    bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
    timer_.Schedule(kFirstRequest);
    if (passed != nullptr) Resume(*passed);
  }
  ~ServerConnection() { Leave(HttpServer::Ending::kClosed); }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Leave(HttpServer::Ending ending) {  // closes; what is open can't be answered any more
    if (const auto exchange = open()) exchange->client_ = nullptr;
    // Guards the last answer: a close over unread bytes is a reset, and takes what is still on its way with
    // it.
    char bytes[4096];
    for (std::size_t all = 0; buffers_ && ending == HttpServer::Ending::kClosed && all < kMostLinger;) {
      const ssize_t n = ::recv(bufferevent_getfd(buffers_.get()), bytes, sizeof bytes, MSG_DONTWAIT);
      if (n <= 0) break;
      all += static_cast<std::size_t>(n);
    }
    buffers_.reset();
    timer_.Stop();
  }
  // Between requests: ends our side, and reads away for a moment what crosses that. The client has its
  // request unread and sends it again; one that has come already is answered first. False: there is one.
  bool Retire() {
    if (unread()) return false;
    CloseOnceWritten();
    const bool written = evbuffer_get_length(bufferevent_get_output(buffers_.get())) == 0;
    if (written) ::shutdown(bufferevent_getfd(buffers_.get()), SHUT_WR);
    return true;
  }
  void Answer(int code, const std::string& body, const Exchange::Headers& headers) {
    const bool last = server_.closing_ || !keep_ || ended_;
    std::string text = "HTTP/1.1 " + std::to_string(code) + " " + ReasonPhrase(code) + "\r\n";
    for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
    if (last) text += "Connection: close\r\n";
    if (code != 204) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    bufferevent_write(buffers_.get(), text.data(), text.size());
    since_ = heard_ = std::chrono::steady_clock::now();
    exchange_.reset();
    if (last) return CloseOnceWritten();
    timer_.Schedule(Unparsed() ? kNextRequest : kIdle);
    if (Unparsed()) bufferevent_trigger(buffers_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }

  // The request that waits for its answer, if there is one.
  std::shared_ptr<Exchange> open() const {
    auto exchange = exchange_.lock();
    return exchange && !exchange->client_gone() ? exchange : nullptr;
  }
  // Guards a request that has arrived and was not read yet: it is answered, not closed upon.
  bool unread() const {
    char byte = 0;
    return Unparsed() || ::recv(bufferevent_getfd(buffers_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  bool asked() const { return asked_; }
  bool settled() const { return !open() && evbuffer_get_length(bufferevent_get_output(buffers_.get())) == 0; }
  bool passable() const { return !refused_ && !ended_ && settled(); }
  HttpServer::ClientToTransfer ToPass() const {
    const std::size_t size = evbuffer_get_length(input());
    HttpServer::ClientToTransfer passing{
        bufferevent_getfd(buffers_.get()), asked_,
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - since_),
        begun_ + std::string(size, '\0')};
    evbuffer_copyout(input(), passing.bytes.data() + begun_.size(), size);
    return passing;
  }
  bool idle() const { return asked_ && !refused_ && !parser_ && !open(); }
  bool mute() const { return !asked_ && !refused_ && !parser_; }
  std::chrono::steady_clock::time_point heard() const { return heard_; }  // its last bytes

 private:
  using Parser = http::request_parser<http::string_body>;

  evbuffer* input() const { return bufferevent_get_input(buffers_.get()); }
  std::size_t Most() const { return 2 * server_.limits_.head; }  // read ahead of the parser
  bool Unparsed() const { return evbuffer_get_length(input()) > 0; }

  void Read() {
    if (Unparsed()) heard_ = std::chrono::steady_clock::now();
    while (!refused_ && !open() && Unparsed()) {
      if (evbuffer_get_length(bufferevent_get_output(buffers_.get())) > kMostUnwritten) return;
      if (!parser_) {
        parser_.emplace();
        parser_->header_limit(server_.limits_.head);
        parser_->body_limit(server_.limits_.body);
        head_checked_ = false;
        if (asked_) timer_.Schedule(kNextRequest);
      }
      const std::size_t size = evbuffer_get_length(input());
      boost::system::error_code error;
      const std::size_t used =
          parser_->put(boost::asio::const_buffer(evbuffer_pullup(input(), -1), size), error);
      if (error && error != http::error::need_more) {
        return Refuse(error == http::error::body_limit     ? 413
                      : error == http::error::header_limit ? 431
                                                           : 400);
      }
      // Another process may have to go on with this request.
      if (!parser_->is_done()) begun_.append(reinterpret_cast<char*>(evbuffer_pullup(input(), used)), used);
      evbuffer_drain(input(), used);
      if (parser_->is_header_done() && !std::exchange(head_checked_, true)) {
        if (!GoodHead(parser_->get())) return Refuse(400);
        parser_->eager(true);
        if (!Unparsed() && !parser_->is_done() &&
            boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
          static constexpr std::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";
          bufferevent_write(buffers_.get(), kGoOn.data(), kGoOn.size());
        }
      }
      if (parser_->is_done()) {
        HandOver();
      } else if (used == 0) {
        if (size >= Most()) return Refuse(400);  // a line without end
        return;
      }
    }
    if (refused_) {
      lingered_ += evbuffer_get_length(input());
      evbuffer_drain(input(), evbuffer_get_length(input()));
      if (lingered_ > kMostLinger) server_.Close(*this);
    }
  }

  void Resume(const HttpServer::TransferredClient& passed) {
    asked_ = passed.has_sent_requests;
    since_ -= passed.age;
    if (asked_) timer_.Schedule(kIdle);
    if (!asked_) timer_.Schedule(std::max<Duration>(kFirstRequest - passed.age, Duration(0)));
    if (passed.bytes.empty()) return;
    evbuffer_prepend(input(), passed.bytes.data(), passed.bytes.size());
    bufferevent_trigger(buffers_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  void HandOver() {
    http::request<http::string_body> request = parser_->release();
    parser_.reset();
    begun_.clear();
    asked_ = true;
    timer_.Stop();
    keep_ = request.keep_alive();
    Exchange::Headers headers;
    for (const auto& field : request) {
      headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    std::string path(request.target());
    path.resize(std::min(path.find('?'), path.size()));
    auto exchange = std::make_shared<Exchange>(this, std::string(request.method_string()), std::move(path),
                                               std::move(headers), std::move(request.body()));
    exchange_ = exchange;
    server_.handler_(std::move(exchange));
  }

  void Refuse(int code) {
    parser_.reset();
    asked_ = refused_ = true;
    const std::string text = "HTTP/1.1 " + std::to_string(code) + " " + ReasonPhrase(code) +
                             "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    bufferevent_write(buffers_.get(), text.data(), text.size());
    CloseOnceWritten();
    Read();
  }

  void TimedOut() {
    if (refused_) return server_.Close(*this);
    if (parser_) return Refuse(408);  // half a request
    if (Retire()) return;
    timer_.Schedule(kNextRequest);  // it is read in this round
    if (Unparsed()) bufferevent_trigger(buffers_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  void CloseOnceWritten() {
    refused_ = true;  // nothing more is read
    timer_.Schedule(kLinger);
  }

  static void Readable(bufferevent*, void* self) { static_cast<ServerConnection*>(self)->Read(); }
  static void Written(bufferevent*, void* self) {  // all that was to be written
    auto* c = static_cast<ServerConnection*>(self);
    if (!c->refused_) return c->Read();
    // The client's end closes it, or the timer does.
    ::shutdown(bufferevent_getfd(c->buffers_.get()), SHUT_WR);
    if (c->ended_) c->server_.Close(*c);
  }
  static void Happened(bufferevent*, short what, void* self) {
    auto* c = static_cast<ServerConnection*>(self);
    // A client that has ended its sending may still read the answer to a whole request.
    const bool wanted = c->open() || evbuffer_get_length(bufferevent_get_output(c->buffers_.get())) > 0;
    if ((what & BEV_EVENT_EOF) != 0 && wanted) {
      c->ended_ = true;
      return;
    }
    c->server_.Close(*c);
  }

  HttpServer& server_;
  std::unique_ptr<bufferevent, Free<bufferevent_free>> buffers_;
  Timer timer_;
  std::optional<Parser> parser_;  // of the request that is coming
  std::weak_ptr<Exchange> exchange_;
  bool asked_ = false, refused_ = false, head_checked_ = false, keep_ = true, ended_ = false;
  std::string begun_;  // bytes of the request that is coming which the parser has taken
  std::size_t lingered_ = 0;
  std::chrono::steady_clock::time_point since_ = std::chrono::steady_clock::now(), heard_ = since_;
};

std::string Exchange::Header(const char* name) const {
  for (const auto& [key, value] : headers_) {
    if (evutil_ascii_strcasecmp(key.c_str(), name) == 0) return value;
  }
  return "";
}

bool Exchange::Respond(int code, const std::string& body, const Headers& headers) {
  if (client_gone()) return false;
  std::exchange(client_, nullptr)->Answer(code, body, headers);
  return true;
}

HttpServer::HttpServer(EventLoop& loop, const Address& at, HttpServerLimits limits, Handler handler,
                       FileDescriptor inherited)
    : loop_(loop),
      limits_(limits),
      handler_(std::move(handler)),
      listen_again_(loop,
                    [this] {
                      if (listener_) evconnlistener_enable(listener_.get());
                    }),
      sweep_(loop, [this] { closed_.clear(); }) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  constexpr unsigned kFlags =
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT;
  if (inet_pton(AF_INET, at.host.c_str(), &address.sin_addr) == 1) {
    if (ListensAt(inherited, address)) {
      listener_.reset(evconnlistener_new(loop.base(), Accepted, this, kFlags, SOMAXCONN, inherited.get()));
      if (listener_) inherited.Release();
    } else {
      listener_.reset(evconnlistener_new_bind(loop.base(), Accepted, this, kFlags, SOMAXCONN,
                                              reinterpret_cast<const sockaddr*>(&address), sizeof address));
    }
  }
  if (!listener_) throw std::runtime_error("can't listen on " + at.host + ":" + std::to_string(at.port));
  evconnlistener_set_error_cb(listener_.get(), NotAccepted);
  socklen_t size = sizeof address;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
}

HttpServer::~HttpServer() = default;

void HttpServer::Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  if (server->clients_.size() >= server->limits_.connections && !server->MakeRoom()) {
    ::close(fd);
    return;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto client = std::make_unique<ServerConnection>(*server, fd);
  server->clients_[client.get()] = std::move(client);
}

// Guards against turning round and round while no descriptor is free.
void HttpServer::NotAccepted(evconnlistener* listener, void* self) {
  evconnlistener_disable(listener);
  static_cast<HttpServer*>(self)->listen_again_.Schedule(kListenAgain);
}

// Closes the connection that is least missed: first who has said nothing for long, then who is idle, then who
// is amid a first request or has only just come, last who has asked before; of equals the longest silent.
// False if all have a request open.
bool HttpServer::MakeRoom() {
  const auto now = std::chrono::steady_clock::now();
  ServerConnection* least = nullptr;
  std::pair<int, std::chrono::steady_clock::time_point> lowest;
  for (const auto& [client, owned] : clients_) {
    if (client->open()) continue;
    const bool mute = client->mute() && client->heard() + kMute < now;
    const int rank = mute ? 0 : client->idle() ? 1 : client->asked() ? 3 : 2;
    const std::pair place(rank, client->heard());
    if (least != nullptr && place >= lowest) continue;
    if ((client->mute() || client->idle()) && client->unread())
      continue;  // it has asked, and was not read yet
    least = client;
    lowest = place;
  }
  if (least != nullptr) Close(*least);
  return least != nullptr;
}

void HttpServer::Close(ServerConnection& client, Ending ending) {
  const auto at = clients_.find(&client);
  if (at == clients_.end()) return;
  client.Leave(ending);
  closed_.push_back(std::move(at->second));
  clients_.erase(at);
  sweep_.Schedule(Duration(0));
  if (on_closed) on_closed();
}

void HttpServer::CloseBetweenRequests(bool mute_too) {
  closing_ = true;
  for (const auto& [client, owned] : clients_) {
    if (client->idle() || (mute_too && client->mute())) client->Retire();
  }
}

bool HttpServer::IsSettled() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const auto& at) { return at.first->settled(); });
}

std::vector<HttpServer::ClientToTransfer> HttpServer::ClientsToTransfer() const {
  std::vector<ClientToTransfer> all;
  for (const auto& [client, owned] : clients_) {
    if (client->passable()) all.push_back(client->ToPass());
  }
  return all;
}

void HttpServer::ReleaseAll() {
  listener_.reset();
  closing_ = true;
  std::vector<ServerConnection*> gone;
  for (const auto& [client, owned] : clients_) {
    if (client->passable()) gone.push_back(client);
  }
  for (ServerConnection* client : gone) Close(*client, Ending::kPassed);
}

void HttpServer::Adopt(TransferredClient passed) {
  auto client = std::make_unique<ServerConnection>(*this, passed.fd.get(), &passed);
  passed.fd.Release();
  clients_[client.get()] = std::move(client);
}

// Who stands in the queue has connected, and may have asked: a listener that closes would reset them.
void HttpServer::StopListening() {
  if (!listener_) return;
  evconnlistener_disable(listener_.get());
  while (true) {
    const int fd = ::accept4(listener(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) break;
    Accepted(listener_.get(), fd, nullptr, 0, this);
  }
  listener_.reset();
}

}  // namespace sagetally
