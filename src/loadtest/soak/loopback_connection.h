// Opens client connections to servers on the loopback interface. Shared by the soak's clients and crowds.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_LOOPBACK_CONNECTION_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_LOOPBACK_CONNECTION_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>

#include "base/file_descriptor.h"

namespace sagetally::loadtest {

// Connects to `port`. Returns an empty descriptor if the connection is not established.
inline FileDescriptor ConnectToLoopback(std::uint16_t port) {
  FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return FileDescriptor();
  }
  return socket;
}

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_LOOPBACK_CONNECTION_H_
