// Classifies the errors of socket calls: which ones are transient and say nothing about the connection.
// Usable from any thread.
#ifndef SAGETALLY_SRC_NET_SOCKET_ERROR_H_
#define SAGETALLY_SRC_NET_SOCKET_ERROR_H_

#include <cerrno>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// The delay before a socket call that failed with a transient error is repeated.
constexpr Duration kSocketRetryDelay = std::chrono::milliseconds(5);

// Returns whether the call would have blocked, was interrupted, or failed because the system was short of
// memory for a moment. The connection is unchanged, and the same call may succeed later.
constexpr bool IsTransientSocketError(int error_number) {
  return error_number == EAGAIN || error_number == EWOULDBLOCK || error_number == EINTR ||
         error_number == ENOBUFS || error_number == ENOMEM;
}

// Returns whether this machine could not open a connection at the moment because it lacked a descriptor, a
// port, memory or a route. Nothing has reached the peer, and the error says nothing about the peer.
constexpr bool IsTransientConnectError(int error_number) {
  return IsTransientSocketError(error_number) || error_number == EMFILE || error_number == ENFILE ||
         error_number == EADDRNOTAVAIL || error_number == ENETUNREACH || error_number == ECONNABORTED;
}

// Returns whether accept() has reported an error of the one connection that it removed from the queue (see
// accept(2)). The other connections in the queue are not affected.
constexpr bool IsErrorOfAcceptedConnection(int error_number) {
  return error_number == ECONNABORTED || error_number == EINTR || error_number == EPROTO ||
         error_number == ENETDOWN || error_number == ENOPROTOOPT || error_number == EHOSTDOWN ||
         error_number == ENONET || error_number == EHOSTUNREACH || error_number == EOPNOTSUPP ||
         error_number == ENETUNREACH || error_number == EPERM;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SOCKET_ERROR_H_
