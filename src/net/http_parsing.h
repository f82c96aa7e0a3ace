// What the server's request reader and the endpoint client's response reader share: Boost.Beast's HTTP parser
// fed from a libevent buffer.
#ifndef SAGETALLY_SRC_NET_HTTP_PARSING_H_
#define SAGETALLY_SRC_NET_HTTP_PARSING_H_

#include <event2/buffer.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string_view>

namespace sagetally {

struct ParseProgress {
  std::size_t available_bytes = 0;  // in the buffer, before
  std::size_t consumed_bytes = 0;   // by the parser; still in the buffer
  boost::system::error_code error = {};
};

// Hands all that `input` holds to `parser`. The caller drains the consumed bytes. That more bytes are needed
// is no error.
template <typename Parser>
ParseProgress FeedParser(Parser& parser, evbuffer* input) {
  ParseProgress progress;
  progress.available_bytes = evbuffer_get_length(input);
  const boost::asio::const_buffer bytes(evbuffer_pullup(input, -1), progress.available_bytes);
  progress.consumed_bytes = parser.put(bytes, progress.error);
  if (progress.error == boost::beast::http::error::need_more) progress.error = {};
  return progress;
}

// The value of a header; empty if it is absent.
inline std::string_view FieldValue(const boost::beast::http::fields& fields, const char* name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_PARSING_H_
