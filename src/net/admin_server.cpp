#include "net/admin_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>
#include <string>
#include <utility>

#include "net/listen_error.h"
#include "net/socket_address.h"

namespace sagetally {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(6);
// How long a connection stays open after its answer, so that the client can read it.
constexpr Duration kLingerTime = std::chrono::milliseconds(200);
// How long accepting pauses when the system is out of file descriptors or memory.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

bool IsOutOfResources(int error_number) {
  return error_number == EMFILE || error_number == ENFILE || error_number == ENOBUFS ||
         error_number == ENOMEM;
}

}  // namespace

// One admin connection: reads the request, writes the answer, and asks the server to close it afterwards.
class AdminServer::Client {
 public:
  Client(AdminServer& server, int socket)
      : server_(server),
        buffers_(bufferevent_socket_new(server_.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
        timer_(server_.loop_, [this] { server_.Close(*this); }) {
    bufferevent_setcb(buffers_.get(), OnReadable, OnOutputDrained, OnEvent, this);
    bufferevent_setwatermark(buffers_.get(), EV_READ, 0, 2 * kMaxAdminLineBytes);
    bufferevent_priority_set(buffers_.get(), static_cast<int>(EventPriority::kUrgent));
    bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
    timer_.Schedule(kRequestTimeout);
  }

  // Closes the socket. Safe to call within the client's own callbacks, unlike the destructor.
  void Close() {
    buffers_.reset();
    timer_.Stop();
  }
  bool is_answered() const { return is_answered_; }

 private:
  void Read() {
    evbuffer* input = bufferevent_get_input(buffers_.get());
    const std::size_t size = evbuffer_get_length(input);
    if (is_answered_) {  // closing with unread bytes sends a reset, which may discard the answer
      evbuffer_drain(input, size);
      return;
    }
    const AdminRequest request =
        ParseAdminRequest({reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size});
    if (request.state == AdminRequest::State::kIncomplete) return;
    is_answered_ = true;
    evbuffer_drain(input, size);
    const std::string answer = HandleAdminRequest(request, server_.handlers_);
    bufferevent_write(buffers_.get(), answer.data(), answer.size());
    timer_.Schedule(kLingerTime);
  }

  static void OnReadable(bufferevent*, void* self) { static_cast<Client*>(self)->Read(); }

  static void OnOutputDrained(bufferevent*, void* self) {
    auto* client = static_cast<Client*>(self);
    if (client->is_answered_) ::shutdown(bufferevent_getfd(client->buffers_.get()), SHUT_WR);
  }

  // The client has ended the connection, or it has failed.
  static void OnEvent(bufferevent* buffers, short, void* self) {
    auto* client = static_cast<Client*>(self);
    // A client that has shut down its sending side may still read the answer. timer_ closes the connection.
    if (client->is_answered_ && evbuffer_get_length(bufferevent_get_output(buffers)) > 0) return;
    client->server_.Close(*client);
  }

  AdminServer& server_;
  BufferEventPtr buffers_;
  Timer timer_;
  bool is_answered_ = false;
};

FileDescriptor AdminServer::Listen(const Address& address) {
  FileDescriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const std::optional<sockaddr_in> wanted = ToSocketAddress(address);
  if (!wanted || ::bind(listener.get(), reinterpret_cast<const sockaddr*>(&*wanted), sizeof *wanted) != 0 ||
      ::listen(listener.get(), SOMAXCONN) != 0) {
    const int error_number = errno;
    const std::string text = FormatAddress(address);
    throw ListenError("admin: can't listen on " + text + ": " + std::strerror(error_number), text,
                      error_number);
  }
  return listener;
}

AdminServer::AdminServer(EventLoop& loop, FileDescriptor listener, std::size_t max_connections,
                         AdminHandlers handlers)
    : loop_(loop),
      max_connections_(std::max<std::size_t>(1, max_connections)),
      handlers_(std::move(handlers)),
      listener_(std::move(listener)),
      accept_event_(StartReadEvent(loop, listener_.get(), OnAcceptable, this, EventPriority::kUrgent)),
      port_(LocalPort(listener_.get())),
      accept_retry_timer_(loop, [this] { event_add(accept_event_.get(), nullptr); }),
      closed_clients_(loop) {}

AdminServer::~AdminServer() = default;

void AdminServer::OnAcceptable(evutil_socket_t, short, void* self) {
  static_cast<AdminServer*>(self)->AcceptClients();
}

// Accepts at most `max_connections_` connections per call, so that thousands of admin clients can't keep the
// other events of the loop waiting.
void AdminServer::AcceptClients() {
  for (std::size_t accepted = 0; accepted < max_connections_; ++accepted) {
    const int socket = ::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      if (!IsOutOfResources(errno)) return;
      event_del(accept_event_.get());  // the listener stays readable, so the loop would spin on it
      return accept_retry_timer_.Schedule(kAcceptPause);
    }
    if (clients_.size() >= max_connections_) EvictClient();
    clients_.push_back(std::make_unique<Client>(*this, socket));
  }
}

// Closes a client that was answered or, if there is none, the client that was accepted first.
void AdminServer::EvictClient() {
  const auto answered = std::find_if(clients_.begin(), clients_.end(),
                                     [](const auto& client) { return client->is_answered(); });
  Close(answered == clients_.end() ? *clients_.front() : **answered);
}

void AdminServer::Close(Client& client) {
  const auto found = std::find_if(clients_.begin(), clients_.end(),
                                  [&](const auto& owned) { return owned.get() == &client; });
  if (found == clients_.end()) return;
  client.Close();
  closed_clients_.Delete(std::move(*found));
  clients_.erase(found);
}

}  // namespace sagetally
