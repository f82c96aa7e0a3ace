// Opens outgoing evhttp connections that limit what they read. Used on the event loop's thread.
#ifndef SAGETALLY_SRC_NET_HTTP_CONNECTION_H_
#define SAGETALLY_SRC_NET_HTTP_CONNECTION_H_

#include <cstddef>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

// Limits of what a peer may send. A response whose stated length exceeds them fails, and no more than this is
// buffered of it.
struct HttpConnectionLimits {
  std::size_t max_read_ahead_bytes = 0;  // buffered and not yet parsed; limits the size of a chunk, too
  std::size_t max_body_bytes = 0;        // of one response; 0 means no limit
};

// Returns a connection to `address` that is established when its first request is made. It does not resend
// requests. Timeouts are up to the caller: the connection's own timeout is a day.
ConnectionPtr OpenHttpConnection(EventLoop& loop, const Address& address, HttpConnectionLimits limits);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_CONNECTION_H_
