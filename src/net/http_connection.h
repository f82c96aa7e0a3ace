// An outgoing evhttp connection that keeps its peer within bounds: what claims to be longer is an error, and
// no more than that is ever held of it.
#ifndef SAGETALLY_SRC_NET_HTTP_CONNECTION_H_
#define SAGETALLY_SRC_NET_HTTP_CONNECTION_H_

#include <event2/bufferevent.h>

#include <algorithm>

#include "config/config.h"
#include "net/event_loop.h"

namespace sagetally {

constexpr std::size_t kMostAnswerHead = 16 * 1024;

// `most_read`: bytes that are read ahead of us, so also those of one chunk. `most_body`: of one answer; 0: it
// may go on for ever. Nothing is sent twice, and waits are the caller's.
inline ConnectionPtr OpenConnection(EventLoop& loop, const Address& to, std::size_t most_read,
                                    std::size_t most_body) {
  ConnectionPtr connection(evhttp_connection_base_new(loop.base(), nullptr, to.host.c_str(), to.port));
  evhttp_connection_set_retries(connection.get(), 0);
  evhttp_connection_set_timeout(connection.get(), 24 * 3600);
  evhttp_connection_set_max_headers_size(connection.get(), kMostAnswerHead);
  if (most_body > 0)
    evhttp_connection_set_max_body_size(connection.get(), static_cast<ev_ssize_t>(most_body));
  // evhttp gathers a chunk as long as its length says before it looks at it.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection.get()), EV_READ, 0,
                           std::max(most_read, 2 * kMostAnswerHead));
  return connection;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_CONNECTION_H_
