#include "net/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <stdexcept>

namespace sagetally {
namespace {

// Guards a request that has arrived and was not read yet: it is answered, not closed upon.
bool Unread(evhttp_connection* connection) {
  char byte = 0;
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

std::string Exchange::method() const {
  if (gone()) return "";
  switch (evhttp_request_get_command(request_)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

std::string Exchange::path() const {
  const evhttp_uri* uri = gone() ? nullptr : evhttp_request_get_evhttp_uri(request_);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  return path == nullptr ? "" : path;
}

std::string Exchange::Header(const char* name) const {
  const char* value = gone() ? nullptr : evhttp_find_header(evhttp_request_get_input_headers(request_), name);
  return value == nullptr ? "" : value;
}

std::vector<std::pair<std::string, std::string>> Exchange::Headers() const {
  std::vector<std::pair<std::string, std::string>> all;
  if (gone()) return all;
  const evkeyvalq* headers = evhttp_request_get_input_headers(request_);
  for (const evkeyval* h = headers->tqh_first; h != nullptr; h = h->next.tqe_next) {
    all.emplace_back(h->key, h->value);
  }
  return all;
}

std::string Exchange::body() const {
  if (gone()) return "";
  evbuffer* in = evhttp_request_get_input_buffer(request_);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_copyout(in, body.data(), body.size());
  return body;
}

bool Exchange::Answer(int code, const std::string& body,
                      const std::vector<std::pair<std::string, std::string>>& headers) {
  if (gone()) return false;
  evkeyvalq* out = evhttp_request_get_output_headers(request_);
  for (const auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
  if (closing_) evhttp_add_header(out, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(request_), body.data(), body.size());
  evhttp_request* request = std::exchange(request_, nullptr);
  evhttp_send_reply(request, code, nullptr, nullptr);
  return true;
}

Server::Server(Loop& loop, const Address& at, std::size_t most_body, Handler handler)
    : http_(evhttp_new(loop.base())), handler_(std::move(handler)) {
  evhttp_set_max_body_size(http_.get(), static_cast<ev_ssize_t>(most_body));
  evhttp_set_max_headers_size(http_.get(), 32 * 1024);
  evhttp_set_timeout(http_.get(), 24 * 3600);  // clients keep their connections
  evhttp_set_gencb(http_.get(), Request, this);
  bound_ = evhttp_bind_socket_with_handle(http_.get(), at.host.c_str(), at.port);
  if (bound_ == nullptr) {
    throw std::runtime_error("can't listen on " + at.host + ":" + std::to_string(at.port));
  }
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  getsockname(evhttp_bound_socket_get_fd(bound_), reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

Server::~Server() {
  for (const auto& [connection, exchange] : connections_) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    if (const auto open = exchange.lock()) open->request_ = nullptr;
  }
}

void Server::Request(evhttp_request* request, void* self) {
  auto* server = static_cast<Server*>(self);
  auto exchange = std::make_shared<Exchange>(request);
  exchange->closing_ = server->closing_;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  server->connections_[connection] = exchange;
  evhttp_connection_set_closecb(connection, Closed, self);
  server->handler_(exchange);
}

void Server::Closed(evhttp_connection* connection, void* self) {
  auto* server = static_cast<Server*>(self);
  const auto at = server->connections_.find(connection);
  if (at == server->connections_.end()) return;
  // A connection that fails while its request waits for the answer lets go of the request: it is ours to
  // free.
  if (const auto open = at->second.lock(); open && !open->gone()) {
    evhttp_request_free(std::exchange(open->request_, nullptr));
  }
  server->connections_.erase(at);
}

void Server::CloseBetweenRequests() {
  closing_ = true;
  const auto all = connections_;
  for (const auto& [connection, exchange] : all) {
    const auto open = exchange.lock();
    if (open && !open->gone()) {
      open->closing_ = true;
    } else if (!Unread(connection)) {
      connections_.erase(connection);
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
      evhttp_connection_free(connection);
    }
  }
}

void Server::StopListening() {
  if (bound_ != nullptr) evhttp_del_accept_socket(http_.get(), std::exchange(bound_, nullptr));
}

}  // namespace sagetally
