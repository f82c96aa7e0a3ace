#include "net/http_connection.h"

#include <event2/bufferevent.h>

#include <algorithm>

namespace sagetally {
namespace {

constexpr std::size_t kMaxResponseHeadBytes = 16 * 1024;
constexpr int kNoTimeoutSeconds = 24 * 3600;  // evhttp applies a default timeout unless one is set

}  // namespace

ConnectionPtr OpenHttpConnection(EventLoop& loop, const Address& address, HttpConnectionLimits limits) {
  ConnectionPtr connection(
      evhttp_connection_base_new(loop.base(), nullptr, address.host.c_str(), address.port));
  evhttp_connection_set_retries(connection.get(), 0);
  evhttp_connection_set_timeout(connection.get(), kNoTimeoutSeconds);
  evhttp_connection_set_max_headers_size(connection.get(), kMaxResponseHeadBytes);
  if (limits.max_body_bytes > 0) {
    evhttp_connection_set_max_body_size(connection.get(), static_cast<ev_ssize_t>(limits.max_body_bytes));
  }
  // evhttp buffers a whole chunk, whatever length the peer states, before it processes the chunk.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection.get()), EV_READ, 0,
                           std::max(limits.max_read_ahead_bytes, 2 * kMaxResponseHeadBytes));
  return connection;
}

}  // namespace sagetally
