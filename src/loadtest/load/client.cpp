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

double RetryAfter(const http::fields& fields) {
  const auto value = fields["Retry-After"];
  double seconds = 0;
  const auto read = std::from_chars(value.data(), value.data() + value.size(), seconds);
  return read.ec == std::errc() && seconds > 0 && seconds < 86400 ? seconds : 0;
}

}  // namespace

class ClientConnection {
 public:
  ClientConnection(Clients& clients, const Address& to)
      : clients_(clients),
        read_(event_new(clients.loop_.base(), socket_.get(), EV_READ | EV_PERSIST, Readable, this)),
        write_(event_new(clients.loop_.base(), socket_.get(), EV_WRITE, Writable, this)),
        give_up_(clients.loop_, [this] { End({.timed_out = !failed_}, false); }) {
    if (socket_.get() < 0) return;
    const int on = 1;
    ::setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.host.c_str(), &at.sin_addr);
    const int result = ::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
    failed_ = result != 0 && errno != EINPROGRESS;
    connecting_ = result != 0;
    if (!failed_) event_add(read_.get(), nullptr);
  }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void Send(std::string request, Clients::Done done, bool again) {
    request_ = std::move(request);
    done_ = std::move(done);
    written_ = 0;
    again_ = again;
    heard_ = false;
    parser_.emplace();
    parser_->eager(true);
    if (clients_.answer_.count() > 0) give_up_.Schedule(clients_.answer_);
    if (socket_.get() < 0 || failed_) {
      give_up_.Schedule(Duration(0));  // heard of from the loop, as any other failure is
      return;
    }
    if (connecting_) {
      event_add(write_.get(), nullptr);
    } else {
      Write();
    }
  }
  bool busy() const { return static_cast<bool>(done_); }

 private:
  void Write() {
    while (written_ < request_.size()) {
      const auto n =
          ::send(socket_.get(), request_.data() + written_, request_.size() - written_, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        event_add(write_.get(), nullptr);
        return;
      }
      if (n < 0) return;  // the reading side hears why
      written_ += static_cast<std::size_t>(n);
    }
  }

  void Read() {
    std::array<char, 16 * 1024> bytes;
    const auto n = ::recv(socket_.get(), bytes.data(), bytes.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 || !busy()) return Broke();  // closed, or bytes that nobody asked for
    heard_ = true;
    std::size_t used = 0;
    while (used < static_cast<std::size_t>(n) && !parser_->is_done()) {
      boost::system::error_code error;
      partial_.append(bytes.data() + used, static_cast<std::size_t>(n) - used);
      used = static_cast<std::size_t>(n);
      const std::size_t taken = parser_->put(boost::asio::buffer(partial_.data(), partial_.size()), error);
      partial_.erase(0, taken);
      if (error && error != http::error::need_more) return Broke();
    }
    if (!parser_->is_done()) return;
    const auto& answer = parser_->get();
    const Reply reply{answer.result_int() > 0 ? static_cast<int>(answer.result_int()) : 0, false,
                      RetryAfter(answer)};
    const bool keep = answer.keep_alive() && partial_.empty();
    End(reply, keep);
  }

  // A kept connection that closes as a request crosses: sent once more on a new one.
  void Broke() {
    if (busy() && used_ && !again_ && !heard_) {
      ++clients_.sent_twice_;
      std::string request = std::move(request_);
      Clients::Done done = std::exchange(done_, nullptr);
      Leave();
      clients_.Free(*this, false);
      clients_.Open()->Send(std::move(request), std::move(done), true);
      return;
    }
    End({}, false);
  }

  void End(const Reply& reply, bool keep) {
    give_up_.Stop();
    const Clients::Done done = std::exchange(done_, nullptr);
    used_ = true;
    partial_.clear();
    if (!keep) Leave();
    clients_.Free(*this, keep);
    if (done) done(reply);
    if (clients_.on_free) clients_.on_free();
  }

  void Leave() {  // nothing is heard from the socket any more
    give_up_.Stop();
    event_del(read_.get());
    event_del(write_.get());
    ::shutdown(socket_.get(), SHUT_RDWR);  // the other side hears now, the memory goes later
  }

  static void Readable(evutil_socket_t, short, void* self) { static_cast<ClientConnection*>(self)->Read(); }
  static void Writable(evutil_socket_t, short, void* self) {
    auto* c = static_cast<ClientConnection*>(self);
    c->connecting_ = false;
    c->Write();
  }

  Clients& clients_;
  const FileDescriptor socket_{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  EventPtr read_, write_;
  Timer give_up_;
  std::string request_, partial_;
  std::size_t written_ = 0;
  Clients::Done done_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool connecting_ = false, failed_ = false, used_ = false, again_ = false, heard_ = false;
};

Clients::Clients(EventLoop& loop, const std::vector<Address>& targets, int most, Duration answer)
    : loop_(loop), targets_(targets), most_(most), answer_(answer), sweep_(loop, [this] {
        closed_.clear();
      }) {}
Clients::~Clients() = default;

ClientConnection* Clients::Open() {
  ++opened_;
  all_.push_back(std::make_unique<ClientConnection>(*this, targets_[next_target_++ % targets_.size()]));
  return all_.back().get();
}

void Clients::Send(std::string request, Done done) {
  ClientConnection* connection = nullptr;
  if (idle_.empty()) {
    connection = Open();
  } else {
    connection = idle_.back();
    idle_.pop_back();
  }
  connection->Send(std::move(request), std::move(done), false);
}

void Clients::Free(ClientConnection& connection, bool keep) {
  if (keep) {
    idle_.push_back(&connection);
    return;
  }
  std::erase(idle_, &connection);
  const auto at =
      std::find_if(all_.begin(), all_.end(), [&](const auto& c) { return c.get() == &connection; });
  if (at == all_.end()) return;
  closed_.push_back(std::move(*at));  // freed once its own code has returned
  *at = std::move(all_.back());
  all_.pop_back();
  sweep_.Schedule(Duration(0));
}

}  // namespace sagetally::loadtest
