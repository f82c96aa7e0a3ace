// The admin server, the operators' TCP interface. Each connection carries one request of one line and its
// answer. It has its own listener and its own connection limit, separate from those of the clients.
#ifndef SAGETALLY_SRC_NET_ADMIN_SERVER_H_
#define SAGETALLY_SRC_NET_ADMIN_SERVER_H_

#include <cstdint>
#include <list>
#include <memory>

#include "admin/admin_request.h"
#include "base/file_descriptor.h"
#include "config/config.h"
#include "net/deferred_deleter.h"
#include "net/event_loop.h"

namespace sagetally {

// Accepts admin connections and answers their requests. Its events have urgent priority, so it answers before
// the event loop runs any other event that is due. Runs on the event loop's thread, as do the handlers.
class AdminServer {
 public:
  // Opens a listening socket at `address`. Throws ListenError.
  static FileDescriptor Listen(const Address& address);

  // Serves the connections of `listener`, which Listen() returned. Each connection takes one file descriptor;
  // a `max_connections` of 0 counts as 1. When a connection comes in beyond the limit, a client that was
  // answered is closed to make room, or else the client that was accepted first.
  AdminServer(EventLoop& loop, FileDescriptor listener, std::size_t max_connections, AdminHandlers handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // The port that the listener is bound to.
  std::uint16_t port() const { return port_; }

 private:
  class Client;

  static void OnAcceptable(evutil_socket_t, short, void* self);
  void AcceptClients();
  void EvictClient();
  void Close(Client& client);

  EventLoop& loop_;
  const std::size_t max_connections_;
  const AdminHandlers handlers_;
  FileDescriptor listener_;
  EventPtr accept_event_;
  std::uint16_t port_ = 0;
  std::list<std::unique_ptr<Client>> clients_;  // the one accepted first comes first
  Timer accept_retry_timer_;
  DeferredDeleter<Client> closed_clients_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ADMIN_SERVER_H_
