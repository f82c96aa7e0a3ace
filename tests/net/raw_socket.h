// Plain sockets for tests that control when each byte is sent and read and when a connection is reset. They
// are used on the event loop's thread, so what a test does between two iterations of the loop has happened
// before the code under test is notified of it.
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

// The size of the buffer for one read.
constexpr std::size_t kRawReadBytes = 4096;

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a blocking socket that is connected to a port of this machine.
inline FileDescriptor ConnectToLoopback(std::uint16_t port) {
  FileDescriptor socket(::socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = LoopbackAddress(port);
  const int result = ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  assert(result == 0);
  return socket;
}

// Sends `text`. Returns false if not all of it could be sent.
inline bool SendAll(const FileDescriptor& socket, const std::string& text) {
  return ::send(socket.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

// Closes the connection with a reset.
inline void ResetConnection(FileDescriptor& socket) {
  const linger no_linger{1, 0};
  ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  socket = FileDescriptor();
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_NET_RAW_SOCKET_H_
