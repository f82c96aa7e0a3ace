// Which errors of socket calls say nothing about the connection, and pass.
#ifndef SAGETALLY_SRC_NET_SOCKET_ERROR_H_
#define SAGETALLY_SRC_NET_SOCKET_ERROR_H_

#include <cerrno>

#include "sagetally/dispatch_policy.h"

namespace sagetally {

// After an error that passes, a call is repeated so much later.
constexpr Duration kSocketRetryDelay = std::chrono::milliseconds(5);

// The call would have blocked, was interrupted, or the system was short of memory for a moment: the
// connection is as it was, and the same call may succeed later.
constexpr bool IsTransientSocketError(int error_number) {
  return error_number == EAGAIN || error_number == EWOULDBLOCK || error_number == EINTR ||
         error_number == ENOBUFS || error_number == ENOMEM;
}

// This machine could not open a connection at the moment (descriptors, ports, memory, route). Nothing has
// reached the other side, and it is not to blame.
constexpr bool IsTransientConnectError(int error_number) {
  return IsTransientSocketError(error_number) || error_number == EMFILE || error_number == ENFILE ||
         error_number == EADDRNOTAVAIL || error_number == ENETUNREACH || error_number == ECONNABORTED;
}

// accept() also reports errors of the one connection that it took off the queue (see accept(2)): the next
// ones are sound.
constexpr bool IsErrorOfAcceptedConnection(int error_number) {
  return error_number == ECONNABORTED || error_number == EINTR || error_number == EPROTO ||
         error_number == ENETDOWN || error_number == ENOPROTOOPT || error_number == EHOSTDOWN ||
         error_number == ENONET || error_number == EHOSTUNREACH || error_number == EOPNOTSUPP ||
         error_number == ENETUNREACH || error_number == EPERM;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SOCKET_ERROR_H_
