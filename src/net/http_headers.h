// The type of HTTP headers that the servers, the clients and their callers exchange.
#ifndef SAGETALLY_SRC_NET_HTTP_HEADERS_H_
#define SAGETALLY_SRC_NET_HTTP_HEADERS_H_

#include <string>
#include <utility>
#include <vector>

namespace sagetally {

// The name and value of each header in the order on the wire. Names are compared without regard to case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_HEADERS_H_
