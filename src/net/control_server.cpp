#include "net/control_server.h"

#include <event2/buffer.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "base/file_descriptor.h"
#include "net/listen_error.h"
#include "net/transfer_resumer.h"
#include "net/unix_socket.h"

namespace sagetally {
namespace {

constexpr timeval kIdleTimeout{30, 0};  // seconds, microseconds

}  // namespace

struct ControlServer::Client {
  ControlServer* server = nullptr;  // null once the connection is closed
  BufferEventPtr buffers;
  std::unique_ptr<TransferResumer> resumer;
  bool awaits_answer = false;  // a request was passed to the handler, which has not responded yet
};

ControlServer::ControlServer(EventLoop& loop, std::string path, std::size_t max_request_bytes,
                             Handler handler)
    : loop_(loop),
      path_(std::move(path)),
      max_request_bytes_(max_request_bytes),
      handler_(std::move(handler)) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path_.size() >= sizeof address.sun_path) {
    throw ListenError("control socket: the path " + path_ + " is longer than " +
                          std::to_string(sizeof address.sun_path - 1) + " bytes",
                      path_, ENAMETOOLONG);
  }
  std::memcpy(address.sun_path, path_.data(), path_.size());
  ::unlink(path_.c_str());
  FileDescriptor socket(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (const int error_number = BindForOwnerOnly(socket, address); error_number != 0) {
    throw ListenError("control socket " + path_ + ": " + std::strerror(error_number), path_, error_number);
  }
  listener_.reset(evconnlistener_new(loop_.base(), OnAccepted, this,
                                     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kMaxConnections,
                                     socket.get()));
  if (!listener_) throw ListenError("control socket " + path_ + ": can't listen", path_, errno);
  socket.Release();
}

ControlServer::~ControlServer() {
  // A responder that is running may still hold a reference to its client. It does nothing from now on.
  for (const auto& [client, owned] : clients_) {
    client->server = nullptr;
    client->resumer->Stop();
    client->buffers.reset();
  }
  ::unlink(path_.c_str());
}

void ControlServer::OnAccepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
  auto* server = static_cast<ControlServer*>(self);
  if (server->clients_.size() >= kMaxConnections) {
    ::close(socket);
    return;
  }
  const auto client = std::make_shared<Client>();
  client->server = server;
  client->buffers.reset(bufferevent_socket_new(server->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* buffers = client->buffers.get();
  client->resumer = std::make_unique<TransferResumer>(server->loop_, buffers);
  bufferevent_setcb(buffers, OnReadable, nullptr, OnEvent, client.get());
  bufferevent_setwatermark(buffers, EV_READ, 0, server->max_request_bytes_ + 1);
  bufferevent_set_timeouts(buffers, &kIdleTimeout, &kIdleTimeout);
  server->clients_[client.get()] = client;
  bufferevent_enable(buffers, EV_READ | EV_WRITE);
}

void ControlServer::Close(Client& client) {
  client.server = nullptr;
  client.resumer->Stop();
  client.buffers.reset();
  clients_.erase(&client);
}

void ControlServer::OnEvent(bufferevent*, short events, void* argument) {
  const int error_number = EVUTIL_SOCKET_ERROR();
  auto* client = static_cast<Client*>(argument);
  if (client->resumer->ResumeIfTransient(events, error_number)) return;
  // A client that waits for an answer sends nothing, so the idle timeout does not apply to it. libevent has
  // disabled reading at the timeout.
  if ((events & BEV_EVENT_TIMEOUT) != 0 && client->awaits_answer) {
    bufferevent_enable(client->buffers.get(), EV_READ);
    return;
  }
  client->server->Close(*client);
}

void ControlServer::OnReadable(bufferevent*, void* argument) {
  auto* client = static_cast<Client*>(argument);
  if (!client->awaits_answer) client->server->ReadRequest(*client);
}

void ControlServer::ReadRequest(Client& client) {
  evbuffer* input = bufferevent_get_input(client.buffers.get());
  std::size_t size = 0;
  const std::unique_ptr<char, Free<std::free>> line(evbuffer_readln(input, &size, EVBUFFER_EOL_LF));
  if (!line) {
    if (evbuffer_get_length(input) > max_request_bytes_) Close(client);
    return;
  }
  client.awaits_answer = true;
  handler_({line.get(), size}, [weak = std::weak_ptr(clients_.at(&client))](std::string answer) {
    if (const std::shared_ptr<Client> locked = weak.lock()) Respond(*locked, std::move(answer));
  });
}

void ControlServer::Respond(Client& client, std::string answer) {
  if (client.server == nullptr || !client.awaits_answer) return;
  client.awaits_answer = false;
  answer += '\n';
  bufferevent_write(client.buffers.get(), answer.data(), answer.size());
  const bool has_next_request = evbuffer_get_length(bufferevent_get_input(client.buffers.get())) > 0;
  if (has_next_request) client.server->ReadRequest(client);
}

}  // namespace sagetally
