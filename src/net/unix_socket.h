// Unix sockets to which only the process's own user may connect.
#ifndef SAGETALLY_SRC_NET_UNIX_SOCKET_H_
#define SAGETALLY_SRC_NET_UNIX_SOCKET_H_

#include <sys/un.h>

#include "base/file_descriptor.h"

namespace sagetally {

// Binds `socket` to `address`. The socket's file has mode 0600 from its creation on. Returns 0, or the errno
// of the failure. Changes the process's umask during the call, so no other thread may create files at that
// time.
int BindForOwnerOnly(const FileDescriptor& socket, const sockaddr_un& address);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_UNIX_SOCKET_H_
