#include "net/control_server.h"

#include <event2/buffer.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "base/file_descriptor.h"

namespace sagetally {
namespace {

constexpr timeval kIdle{30, 0};

}  // namespace

struct ControlServer::Client {
  ControlServer* server = nullptr;  // null once it is closed
  std::unique_ptr<bufferevent, Free<bufferevent_free>> buffers;
  bool asked = false;  // one request at a time
};

ControlServer::ControlServer(EventLoop& loop, std::string path, std::size_t most_request, Handler handler)
    : loop_(loop), path_(std::move(path)), most_request_(most_request), handler_(std::move(handler)) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  if (path_.size() >= sizeof at.sun_path) {
    throw std::runtime_error("control socket: the path " + path_ + " is longer than " +
                             std::to_string(sizeof at.sun_path - 1) + " bytes");
  }
  std::memcpy(at.sun_path, path_.data(), path_.size());
  ::unlink(path_.c_str());
  FileDescriptor fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const mode_t before = ::umask(0177);  // from the first moment nobody else may connect
  const bool bound = ::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
  ::umask(before);
  if (!bound) throw std::runtime_error("control socket " + path_ + ": " + std::strerror(errno));
  listener_.reset(evconnlistener_new(loop_.base(), Accepted, this,
                                     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kMostConnections,
                                     fd.get()));
  if (!listener_) throw std::runtime_error("control socket " + path_ + ": can't listen");
  fd.Release();
}

ControlServer::~ControlServer() {
  for (auto& [raw, client] : clients_) client->server = nullptr, client->buffers.reset();
  ::unlink(path_.c_str());
}

void ControlServer::Accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  auto* s = static_cast<ControlServer*>(self);
  if (s->clients_.size() >= kMostConnections) {
    ::close(fd);
    return;
  }
  const auto client = std::make_shared<Client>();
  client->server = s;
  client->buffers.reset(bufferevent_socket_new(s->loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(client->buffers.get(), Readable, nullptr, Happened, client.get());
  bufferevent_setwatermark(client->buffers.get(), EV_READ, 0, s->most_request_ + 1);
  bufferevent_set_timeouts(client->buffers.get(), &kIdle, &kIdle);
  s->clients_[client.get()] = client;
  bufferevent_enable(client->buffers.get(), EV_READ | EV_WRITE);
}

void ControlServer::Close(Client& client) {
  client.server = nullptr;
  client.buffers.reset();
  clients_.erase(&client);
}

void ControlServer::Happened(bufferevent*, short what, void* client) {
  auto* c = static_cast<Client*>(client);
  // A client that waits for an answer says nothing meanwhile; the answer comes in its own time.
  if ((what & BEV_EVENT_TIMEOUT) != 0 && c->asked) {
    bufferevent_enable(c->buffers.get(), EV_READ);
    return;
  }
  c->server->Close(*c);
}

void ControlServer::Readable(bufferevent*, void* client) {
  auto* c = static_cast<Client*>(client);
  if (!c->asked) c->server->Next(*c);
}

void ControlServer::Next(Client& client) {
  evbuffer* in = bufferevent_get_input(client.buffers.get());
  std::size_t size = 0;
  const std::unique_ptr<char, Free<std::free>> line(evbuffer_readln(in, &size, EVBUFFER_EOL_LF));
  if (!line) {
    if (evbuffer_get_length(in) > most_request_) Close(client);  // no line at all
    return;
  }
  client.asked = true;
  handler_({line.get(), size}, [weak = std::weak_ptr(clients_.at(&client))](std::string answer) {
    const std::shared_ptr<Client> c = weak.lock();
    if (!c || c->server == nullptr || !c->asked) return;
    c->asked = false;
    answer += '\n';
    bufferevent_write(c->buffers.get(), answer.data(), answer.size());
    if (evbuffer_get_length(bufferevent_get_input(c->buffers.get())) > 0) c->server->Next(*c);
  });
}

}  // namespace sagetally
