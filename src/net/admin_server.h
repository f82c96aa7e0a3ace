// The operators' TCP interface: one request of one line per connection, apart from the clients' connections.
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

// Answers before everything else that the event loop has to do. On the loop's thread, the handlers too.
class AdminServer {
 public:
  // Opens a listening socket. Throws ListenError.
  static FileDescriptor Listen(const Address& address);

  // `max_connections`: each takes a descriptor; at least 1. Beyond it, a client that was answered or else the
  // one that has waited longest without a whole line is closed.
  AdminServer(EventLoop& loop, FileDescriptor listener, std::size_t max_connections, AdminHandlers handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  class Client;

  static void OnAcceptable(evutil_socket_t, short, void* self);
  void AcceptClients();
  void MakeCapacity();
  void Close(Client& client);

  EventLoop& loop_;
  const std::size_t max_connections_;
  const AdminHandlers handlers_;
  FileDescriptor listener_;
  EventPtr accept_event_;
  std::uint16_t port_ = 0;
  std::list<std::unique_ptr<Client>> clients_;  // oldest first
  Timer accept_again_timer_;
  DeferredDeleter<Client> closed_clients_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ADMIN_SERVER_H_
