// HTTP headers as they pass between the servers, the clients and their callers.
#ifndef SAGETALLY_SRC_NET_HTTP_HEADERS_H_
#define SAGETALLY_SRC_NET_HTTP_HEADERS_H_

#include <string>
#include <utility>
#include <vector>

namespace sagetally {

// Name and value of each header, in their order on the wire. Names are compared without regard to case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_HEADERS_H_
