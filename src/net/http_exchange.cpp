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
  ServerConnection* const client = std::exchange(client_, nullptr);
  if (is_repeated_ && !client->MayAwaitResponse(*this)) {
    client->DropRequest(*this);
    return false;
  }
  client->SendResponse(code, body, headers);
  return true;
}

}  // namespace sagetally
