// Bare sockets for tests that need to say when each byte is sent, read or reset. They run on the loop's own
// thread: what they do between two rounds of the loop has happened before the code under test learns of it.
#ifndef SAGETALLY_TESTS_NET_RAW_SOCKET_H_
#define SAGETALLY_TESTS_NET_RAW_SOCKET_H_

#undef NDEBUG
#include <netinet/in.h>
#include <sys/socket.h>

#include <cassert>
#include <cstdint>
#include <string>

#include "base/file_descriptor.h"

namespace sagetally {

constexpr std::size_t kRawReadBytes = 4096;

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A blocking socket, connected to a port of this machine.
inline FileDescriptor ConnectToLoopback(std::uint16_t port) {
  FileDescriptor socket(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = LoopbackAddress(port);
  const int result = ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  assert(result == 0);
  return socket;
}

// False if not all of it could be sent.
inline bool SendAll(const FileDescriptor& socket, const std::string& text) {
  return ::send(socket.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// Closes with a reset.
inline void ResetConnection(FileDescriptor& socket) {
  const linger at_once{1, 0};
  ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  socket = FileDescriptor();
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_NET_RAW_SOCKET_H_
