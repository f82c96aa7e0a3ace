// Conversions between configured addresses and the system's IPv4 socket addresses.
#ifndef SAGETALLY_SRC_NET_SOCKET_ADDRESS_H_
#define SAGETALLY_SRC_NET_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

#include "config/config.h"

namespace sagetally {

// None if the host is not an IPv4 address in numbers.
std::optional<sockaddr_in> ToSocketAddress(const Address& address);

// The address a socket is bound to; none if it is not an IPv4 socket.
std::optional<sockaddr_in> LocalAddress(int socket);

// The port a socket is bound to; 0 if it is not bound.
std::uint16_t LocalPort(int socket);

// "10.0.0.4:8443".
std::string FormatAddress(const Address& address);
std::string FormatSocketAddress(const sockaddr_in& address);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SOCKET_ADDRESS_H_
