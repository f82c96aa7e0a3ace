#include "loadtest/load/client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

#include "base/file_descriptor.h"

namespace sagetally::loadtest {
namespace {

namespace http = boost::beast::http;

// Returns the seconds of the header Retry-After, or 0 if it is absent, malformed, or a day or more.
double RetryAfterSeconds(const http::fields& fields) {
  constexpr double kSecondsPerDay = 86400;
  const auto value = fields["Retry-After"];
  double seconds = 0;
  const auto read = std::from_chars(value.data(), value.data() + value.size(), seconds);
  return read.ec == std::errc() && seconds > 0 && seconds < kSecondsPerDay ? seconds : 0;
}

}  // namespace

// One connection. A failure is reported from the event loop, never from within Send.
class ClientConnection {
 public:
  ClientConnection(HttpClientPool& clients, const Address& target)
      : clients_(clients),
        read_event_(event_new(clients.loop_.base(), socket_.get(), EV_READ | EV_PERSIST, OnReadable, this)),
        write_event_(event_new(clients.loop_.base(), socket_.get(), EV_WRITE, OnWritable, this)),
        response_timer_(clients.loop_, [this] { Finish({.timed_out = !failed_}, false); }) {
    if (socket_.get() < 0) return;
    const int enabled = 1;
    ::setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    const int result = ::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    failed_ = result != 0 && errno != EINPROGRESS;
    connecting_ = result != 0;
    if (!failed_) event_add(read_event_.get(), nullptr);
  }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void Send(std::string request, HttpClientPool::ResponseHandler on_response, bool is_resend) {
    request_ = std::move(request);
    on_response_ = std::move(on_response);
    written_ = 0;
    is_resend_ = is_resend;
    received_bytes_ = false;
    parser_.emplace();
    parser_->eager(true);
    if (clients_.response_timeout_.count() > 0) response_timer_.Schedule(clients_.response_timeout_);
    if (socket_.get() < 0 || failed_) {
      response_timer_.Schedule(Duration(0));  // reports the failure from the event loop
      return;
    }
    if (connecting_) {
      event_add(write_event_.get(), nullptr);
    } else {
      Write();
    }
  }
  bool busy() const { return static_cast<bool>(on_response_); }

 private:
  void Write() {
    while (written_ < request_.size()) {
      const auto sent =
          ::send(socket_.get(), request_.data() + written_, request_.size() - written_, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
        event_add(write_event_.get(), nullptr);
        return;
      }
      if (sent < 0) return;  // the next read reports the error
      written_ += static_cast<std::size_t>(sent);
    }
  }

  void Read() {
    std::array<char, 16 * 1024> bytes;
    const auto received = ::recv(socket_.get(), bytes.data(), bytes.size(), 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0 || !busy())
      return OnConnectionLost();  // the server closed, or sent bytes without a request
    received_bytes_ = true;
    if (!parser_->is_done()) {
      boost::system::error_code error;
      unparsed_.append(bytes.data(), static_cast<std::size_t>(received));
      const std::size_t consumed =
          parser_->put(boost::asio::buffer(unparsed_.data(), unparsed_.size()), error);
      unparsed_.erase(0, consumed);
      if (error && error != http::error::need_more) return OnConnectionLost();
    }
    if (!parser_->is_done()) return;
    const auto& response = parser_->get();
    const int status = std::max(0, static_cast<int>(response.result_int()));
    const bool keep_alive = response.keep_alive() && unparsed_.empty();
    Finish({status, false, RetryAfterSeconds(response)}, keep_alive);
  }

  // If the server closed a reused connection before it sent any byte of the response, it is
  // assumed to have closed the idle connection while the request was on its way. The request is then sent
  // once more on a new connection.
  void OnConnectionLost() {
    if (busy() && is_reused_ && !is_resend_ && !received_bytes_) {
      ++clients_.resent_requests_;
      std::string request = std::move(request_);
      HttpClientPool::ResponseHandler on_response = std::exchange(on_response_, nullptr);
      Disconnect();
      clients_.Release(*this, false);
      clients_.Open()->Send(std::move(request), std::move(on_response), true);
      return;
    }
    Finish({}, false);
  }

  void Finish(const Reply& reply, bool keep_alive) {
    response_timer_.Stop();
    const HttpClientPool::ResponseHandler on_response = std::exchange(on_response_, nullptr);
    is_reused_ = true;
    unparsed_.clear();
    if (!keep_alive) Disconnect();
    clients_.Release(*this, keep_alive);
    if (on_response) on_response(reply);
    if (clients_.on_connection_free) clients_.on_connection_free();
  }

  // Ends the TCP connection at once. The socket is closed later, when the object is freed.
  void Disconnect() {
    response_timer_.Stop();
    event_del(read_event_.get());
    event_del(write_event_.get());
    ::shutdown(socket_.get(), SHUT_RDWR);
  }

  static void OnReadable(evutil_socket_t, short, void* self) { static_cast<ClientConnection*>(self)->Read(); }
  static void OnWritable(evutil_socket_t, short, void* self) {
    auto* connection = static_cast<ClientConnection*>(self);
    connection->connecting_ = false;
    connection->Write();
  }

  HttpClientPool& clients_;
  const FileDescriptor socket_{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  EventPtr read_event_;
  EventPtr write_event_;
  Timer response_timer_;
  std::string request_;
  std::string unparsed_;  // received bytes that are not parsed yet
  std::size_t written_ = 0;
  HttpClientPool::ResponseHandler on_response_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool connecting_ = false;
  bool failed_ = false;     // connecting failed
  bool is_reused_ = false;  // an earlier request was completed on this connection
  bool is_resend_ = false;  // the current request was sent on another connection before
  bool received_bytes_ = false;
};

HttpClientPool::HttpClientPool(EventLoop& loop, const std::vector<Address>& targets, int max_connections,
                               Duration response_timeout)
    : loop_(loop),
      targets_(targets),
      max_connections_(max_connections),
      response_timeout_(response_timeout),
      cleanup_timer_(loop, [this] { closed_connections_.clear(); }) {}
HttpClientPool::~HttpClientPool() = default;

ClientConnection* HttpClientPool::Open() {
  ++opened_connections_;
  connections_.push_back(
      std::make_unique<ClientConnection>(*this, targets_[next_target_++ % targets_.size()]));
  return connections_.back().get();
}

void HttpClientPool::Send(std::string request, ResponseHandler on_response) {
  ClientConnection* connection = nullptr;
  if (idle_connections_.empty()) {
    connection = Open();
  } else {
    connection = idle_connections_.back();
    idle_connections_.pop_back();
  }
  connection->Send(std::move(request), std::move(on_response), false);
}

void HttpClientPool::Release(ClientConnection& connection, bool keep_alive) {
  if (keep_alive) {
    idle_connections_.push_back(&connection);
    return;
  }
  std::erase(idle_connections_, &connection);
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& owned) { return owned.get() == &connection; });
  if (found == connections_.end()) return;
  closed_connections_.push_back(std::move(*found));
  *found = std::move(connections_.back());
  connections_.pop_back();
  cleanup_timer_.Schedule(Duration(0));
}

}  // namespace sagetally::loadtest
