// Unix sockets that only the process's own user may connect to.
#ifndef SAGETALLY_SRC_NET_UNIX_SOCKET_H_
#define SAGETALLY_SRC_NET_UNIX_SOCKET_H_

#include <sys/un.h>

#include "base/file_descriptor.h"

namespace sagetally {

// Binds `socket` and creates its file with mode 0600 from the first moment on. Returns 0, or errno. Changes
// the process's umask meanwhile, so no other thread may create files at the same time.
int BindForOwnerOnly(const FileDescriptor& socket, const sockaddr_un& address);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_UNIX_SOCKET_H_
