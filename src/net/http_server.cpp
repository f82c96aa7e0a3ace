#include "net/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <optional>
#include <utility>

#include "net/client_eviction.h"
#include "net/listen_error.h"
#include "net/server_connection.h"
#include "net/socket_address.h"
#include "net/socket_error.h"

namespace sagetally {
namespace {

// How long accepting pauses when it has failed, for instance because no file descriptor is free.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
// While all places are taken by connections that keep theirs for the moment, accepting resumes after this.
constexpr Duration kFullRetryDelay = std::chrono::milliseconds(5);
// So many connections are accepted in one iteration of the loop.
constexpr int kMaxAcceptsPerRound = 64;
// While StopListening() accepts the queued connections, it retries this often at this interval after
// accepting has failed.
constexpr Duration kAcceptQueueRetryDelay = std::chrono::milliseconds(10);
constexpr int kMaxStopListeningAttempts = 35;
constexpr unsigned kListenerFlags =
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE | LEV_OPT_REUSEABLE_PORT;

// Returns whether `listener` is bound to the address `wanted`. The port 0 in `wanted` matches any port.
bool ListensAt(const FileDescriptor& listener, const sockaddr_in& wanted) {
  const std::optional<sockaddr_in> actual = LocalAddress(listener.get());
  if (!actual || actual->sin_addr.s_addr != wanted.sin_addr.s_addr) return false;
  return wanted.sin_port == 0 || actual->sin_port == wanted.sin_port;
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, const Address& address, Limits limits, Handler handler,
                       FileDescriptor inherited, ClientMemory* memory)
    : loop_(loop),
      limits_(limits),
      memory_(memory != nullptr ? *memory : own_memory_),
      handler_(std::move(handler)),
      listener_(OpenListener(address, std::move(inherited))),
      port_(LocalPort(listener_descriptor())),
      accept_retry_timer_(loop, [this] { ResumeAccepting(); }),
      stop_listening_timer_(loop, [this] { AcceptQueue(); }),
      closed_clients_(loop) {
  evconnlistener_set_error_cb(listener_.get(), OnAcceptFailed);
  memory_.AddHolder(*this);
}

HttpServer::~HttpServer() { memory_.RemoveHolder(*this); }

EventListenerPtr HttpServer::OpenListener(const Address& address, FileDescriptor inherited) {
  EventListenerPtr listener;
  errno = 0;
  if (const std::optional<sockaddr_in> wanted = ToSocketAddress(address)) {
    if (ListensAt(inherited, *wanted)) {
      listener.reset(
          evconnlistener_new(loop_.base(), OnAccepted, this, kListenerFlags, SOMAXCONN, inherited.get()));
      if (listener) inherited.Release();
    } else {
      listener.reset(evconnlistener_new_bind(loop_.base(), OnAccepted, this, kListenerFlags, SOMAXCONN,
                                             reinterpret_cast<const sockaddr*>(&*wanted), sizeof *wanted));
    }
  }
  if (!listener) {
    const int error_number = errno;
    const std::string text = FormatAddress(address);
    throw ListenError("can't listen on " + text, text, error_number);
  }
  return listener;
}

void HttpServer::OnAccepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  if (server->clients_.size() >= server->limits_.max_connections && !server->EvictClient()) {
    ::close(socket);
    if (server->on_connection_refused) server->on_connection_refused();
    return;
  }
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  server->AddClient(std::make_unique<ServerConnection>(*server, socket));
  server->PauseAcceptingIfDue();
}

// Pauses accepting. Without a free descriptor the listener stays readable, and the loop would spin on it.
void HttpServer::OnAcceptFailed(evconnlistener* listener, void* self) {
  evconnlistener_disable(listener);
  static_cast<HttpServer*>(self)->accept_retry_timer_.Schedule(kAcceptPause);
}

void HttpServer::AddClient(std::unique_ptr<ServerConnection> client) {
  ServerConnection* key = client.get();
  clients_[key] = std::move(client);
}

// Closes a connection to make room for a new one. Returns false if none may give way.
bool HttpServer::EvictClient() {
  ServerConnection* const client = FindClientToEvict(clients_, std::chrono::steady_clock::now());
  if (client == nullptr) return false;
  if (client->is_closing()) {
    const bool is_read = client->HasNoPendingResponse();
    Close(*client, is_read ? CloseReason::kResponseRead : CloseReason::kResponseNotRead);
    return true;
  }
  const bool is_in_request = client->RejectPartialRequest();
  Close(*client, is_in_request ? CloseReason::kEvictedInRequest : CloseReason::kEvicted);
  return true;
}

double HttpServer::EvictionGain() const {
  return FindClientToEvictForMemory(clients_, std::chrono::steady_clock::now()).gain;
}

void HttpServer::EvictForMemory() {
  ServerConnection* const client =
      FindClientToEvictForMemory(clients_, std::chrono::steady_clock::now()).client;
  if (client == nullptr) return;
  client->RejectPartialRequest();
  Close(*client, CloseReason::kEvictedForMemory);
}

// Leaves further connections in the listener's queue for a while if enough were accepted in this iteration of
// the loop, so that the open ones are served too, or if all places are taken by those that keep theirs for
// the moment.
void HttpServer::PauseAcceptingIfDue() {
  if (!listener_ || is_stopping_) return;
  const auto now = std::chrono::steady_clock::now();
  const bool is_full = clients_.size() >= limits_.max_connections;
  const bool is_any_to_evict = !is_full || FindClientToEvict(clients_, now) != nullptr;
  if (!is_any_to_evict) EndBusiestClients(clients_);
  if (!is_any_to_evict || (is_full && ShouldWaitForPlace(clients_, now))) {
    evconnlistener_disable(listener_.get());
    is_waiting_for_place_ = true;
    accept_retry_timer_.Schedule(kFullRetryDelay);
  } else if (++accepted_in_round_ >= kMaxAcceptsPerRound) {
    evconnlistener_disable(listener_.get());
    accept_retry_timer_.Schedule(Duration(0));
  }
}

void HttpServer::ResumeAccepting() {
  is_waiting_for_place_ = false;
  accepted_in_round_ = 0;
  if (!listener_) return;
  evconnlistener_enable(listener_.get());
  PauseAcceptingIfDue();
}

void HttpServer::Close(ServerConnection& client, CloseReason reason, int error_number) {
  const auto found = clients_.find(&client);
  if (found == clients_.end()) return;
  const ClosedConnection closed = client.Describe(reason, error_number);
  client.Close(reason);
  closed_clients_.Delete(std::move(found->second));
  clients_.erase(found);
  if (is_waiting_for_place_) accept_retry_timer_.Schedule(Duration(0));
  if (on_connection_closed) on_connection_closed(closed);
  if (on_closed) on_closed();
}

void HttpServer::CloseBetweenRequests(bool include_unused) {
  is_closing_ = true;
  for (const auto& [client, owned] : clients_) {
    if (client->IsIdle() || (include_unused && client->IsAwaitingFirstRequest())) client->CloseGracefully();
  }
}

void HttpServer::ResumeReading() {
  if (!std::exchange(is_reading_paused_, false)) return;
  for (const auto& [client, owned] : clients_) client->ContinueReading();
}

std::size_t HttpServer::CountOpenRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      clients_, [](const auto& entry) { return entry.first->open_exchange() != nullptr; }));
}

std::size_t HttpServer::CountUnreadResponses() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(clients_, [](const auto& entry) { return entry.first->HasUnwrittenResponse(); }));
}

std::vector<HttpServer::ClientToTransfer> HttpServer::ClientsToTransfer() const {
  std::vector<ClientToTransfer> transferable;
  for (const auto& [client, owned] : clients_) {
    if (client->IsTransferable()) transferable.push_back(client->DescribeForTransfer());
  }
  return transferable;
}

void HttpServer::ReleaseTransferred() {
  listener_.reset();
  is_closing_ = true;
  std::vector<ServerConnection*> transferred;
  for (const auto& [client, owned] : clients_) {
    if (client->IsTransferable()) {
      transferred.push_back(client);
    } else if (!client->is_closing()) {
      client->CloseOnceWritten();
    }
  }
  for (ServerConnection* client : transferred) Close(*client, CloseReason::kTransferred);
}

void HttpServer::Adopt(TransferredClient transferred) {
  auto client = std::make_unique<ServerConnection>(*this, transferred.fd.get(), &transferred);
  transferred.fd.Release();
  AddClient(std::move(client));
}

// Accepts the queued connections first, because closing the listener would reset them although their clients
// are connected and may have sent a request.
void HttpServer::StopListening() {
  if (!listener_ || stop_listening_attempts_ > 0) return;
  evconnlistener_disable(listener_.get());
  accept_retry_timer_.Stop();
  is_waiting_for_place_ = false;
  is_stopping_ = true;
  AcceptQueue();
}

// Accepts the queued connections and closes the listener. If accepting fails, schedules another attempt, and
// closes the listener after the last one.
void HttpServer::AcceptQueue() {
  if (!listener_) return;
  int error_number = 0;
  while (error_number == 0 || IsErrorOfAcceptedConnection(error_number)) {
    const int socket = ::accept4(listener_descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    error_number = socket < 0 ? errno : 0;
    if (socket >= 0) OnAccepted(listener_.get(), socket, nullptr, 0, this);
  }
  const bool is_empty = error_number == EAGAIN || error_number == EWOULDBLOCK;
  if (is_empty || ++stop_listening_attempts_ >= kMaxStopListeningAttempts) return listener_.reset();
  stop_listening_timer_.Schedule(kAcceptQueueRetryDelay);
}

}  // namespace sagetally
