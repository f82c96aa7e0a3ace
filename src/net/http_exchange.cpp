#include "net/http_exchange.h"

#include <event2/util.h>

#include "net/server_connection.h"

namespace sagetally {

std::string Exchange::Header(const char* name) const {
  for (const auto& [key, value] : headers_) {
    if (evutil_ascii_strcasecmp(key.c_str(), name) == 0) return value;
  }
  return "";
}

bool Exchange::Respond(int code, const std::string& body, const Headers& headers) {
  if (is_closed()) return false;
  std::exchange(client_, nullptr)->SendResponse(code, body, headers);
  return true;
}

void Exchange::Drop() {
  if (is_closed()) return;
  std::exchange(client_, nullptr)->DropRequest(*this);
}

}  // namespace sagetally
