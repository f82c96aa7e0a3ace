// The operators' door: a listener for calls of one line each, apart from the clients' connections. It is
// answered before all else that the loop has to do.
#ifndef SAGETALLY_SRC_NET_ADMIN_SERVER_H_
#define SAGETALLY_SRC_NET_ADMIN_SERVER_H_

#include <cstdint>
#include <list>
#include <memory>

#include "admin/admin_request.h"
#include "base/file_descriptor.h"
#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

class AdminServer {
 public:
  // A listening socket. Throws std::runtime_error naming the address if it can't listen.
  static FileDescriptor Listen(const Address& at);
  // Each connection takes a descriptor; over `most_connections` the caller that has waited longest without a
  // whole line gives way.
  AdminServer(EventLoop& loop, FileDescriptor listener, std::size_t most_connections, AdminHandlers answers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  class Client;
  static void Acceptable(evutil_socket_t, short, void* self);
  void Accept();
  void Close(Client& caller);

  EventLoop& loop_;
  const std::size_t most_;
  const AdminHandlers answers_;
  FileDescriptor listener_;
  EventPtr accepts_;
  std::uint16_t port_ = 0;
  std::list<std::unique_ptr<Client>> callers_;  // oldest first
  std::list<std::unique_ptr<Client>> closed_;   // freed once libevent is out of them
  Timer sweep_, accept_again_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ADMIN_SERVER_H_
