// Outgoing evhttp connections with limits.
#ifndef SAGETALLY_SRC_NET_HTTP_CONNECTION_H_
#define SAGETALLY_SRC_NET_HTTP_CONNECTION_H_

#include <cstddef>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

// What a peer may send. A response that claims to be longer is an error, and no more than this is held of it.
struct HttpConnectionLimits {
  std::size_t max_read_ahead_bytes = 0;  // so also of one chunk
  std::size_t max_body_bytes = 0;        // of one response; 0: endless
};

// A connection that comes up with its first request. It sends nothing twice; timeouts are the caller's.
ConnectionPtr OpenHttpConnection(EventLoop& loop, const Address& address, HttpConnectionLimits limits);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_CONNECTION_H_
