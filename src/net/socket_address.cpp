#include "net/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace sagetally {

std::optional<sockaddr_in> ToSocketAddress(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &socket_address.sin_addr) != 1) return std::nullopt;
  return socket_address;
}

std::optional<sockaddr_in> LocalAddress(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (socket < 0 || getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return std::nullopt;
  }
  return address;
}

std::uint16_t LocalPort(int socket) {
  const std::optional<sockaddr_in> address = LocalAddress(socket);
  return address ? ntohs(address->sin_port) : 0;
}

std::string FormatAddress(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

std::string FormatSocketAddress(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace sagetally
