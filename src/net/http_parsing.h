// Feeds Boost.Beast's HTTP parser from a libevent buffer. Shared by the server's RequestReader and the
// endpoint client's ResponseReader.
#ifndef SAGETALLY_SRC_NET_HTTP_PARSING_H_
#define SAGETALLY_SRC_NET_HTTP_PARSING_H_

#include <event2/buffer.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string_view>

namespace sagetally {

// The result of one FeedParser() call.
struct ParseProgress {
  std::size_t available_bytes = 0;  // the bytes in the buffer
  std::size_t consumed_bytes = 0;   // how many of them the parser has consumed; they are still in the buffer
  boost::system::error_code error = {};  // not set if the parser only needs more bytes
};

// Passes `bytes` to `parser`.
template <typename Parser>
ParseProgress FeedParser(Parser& parser, boost::asio::const_buffer bytes) {
  ParseProgress progress;
  progress.available_bytes = bytes.size();
  progress.consumed_bytes = parser.put(bytes, progress.error);
  if (progress.error == boost::beast::http::error::need_more) progress.error = {};
  return progress;
}

// Returns all bytes of `buffer` in one piece, without removing them.
inline boost::asio::const_buffer BytesOf(evbuffer* buffer) {
  return {evbuffer_pullup(buffer, -1), evbuffer_get_length(buffer)};
}

// Passes all bytes of `input` to `parser`. The caller drains the consumed bytes.
template <typename Parser>
ParseProgress FeedParser(Parser& parser, evbuffer* input) {
  return FeedParser(parser, BytesOf(input));
}

// Returns the value of the header `name`, or an empty string if it is absent.
inline std::string_view FieldValue(const boost::beast::http::fields& fields, const char* name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_PARSING_H_
