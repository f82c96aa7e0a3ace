// Converts between configured addresses and the system's IPv4 socket addresses. No state; usable from any
// thread.
#ifndef SAGETALLY_SRC_NET_SOCKET_ADDRESS_H_
#define SAGETALLY_SRC_NET_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

#include "config/config.h"

namespace sagetally {

// Returns the socket address, or nothing if the host is not a numeric IPv4 address.
std::optional<sockaddr_in> ToSocketAddress(const Address& address);

// Returns the address that a socket is bound to, or nothing if the descriptor is invalid.
std::optional<sockaddr_in> LocalAddress(int socket);

// Returns the port that a socket is bound to, or 0 if it is not bound.
std::uint16_t LocalPort(int socket);

// Both return an address as "HOST:PORT", such as "10.0.0.4:8443".
std::string FormatAddress(const Address& address);
std::string FormatSocketAddress(const sockaddr_in& address);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SOCKET_ADDRESS_H_
