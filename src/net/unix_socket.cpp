#include "net/unix_socket.h"

#include <sys/socket.h>
#include <sys/stat.h>

#include <cerrno>

namespace sagetally {
namespace {

constexpr mode_t kOwnerOnlyUmask = 0177;

}  // namespace

int BindForOwnerOnly(const FileDescriptor& socket, const sockaddr_un& address) {
  const mode_t previous_umask = ::umask(kOwnerOnlyUmask);
  const bool bound = ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  const int error_number = errno;
  ::umask(previous_umask);
  return bound ? 0 : error_number;
}

}  // namespace sagetally
