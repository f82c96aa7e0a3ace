// Finds the boundaries of HTTP messages in a stream of bytes, for the fault proxy. No I/O.
#ifndef SAGETALLY_SRC_LOADTEST_PROXY_HTTP_MESSAGE_SPLITTER_H_
#define SAGETALLY_SRC_LOADTEST_PROXY_HTTP_MESSAGE_SPLITTER_H_

#include <string>
#include <string_view>
#include <vector>

namespace sagetally::loadtest {

// Splits the bytes of one direction of a connection into whole messages. A message without Content-Length has
// no body. After a chunked or malformed message the rest of the stream is opaque: no more messages are found.
class HttpMessageSplitter {
 public:
  // Adds bytes and returns the messages that are complete now.
  std::vector<std::string> Add(std::string_view bytes);
  bool is_opaque() const { return is_opaque_; }

 private:
  std::string pending_;  // the beginning of the next message
  bool is_opaque_ = false;
};

// Returns the value of a header of the message, or an empty string. `name` is matched in its usual spelling.
std::string HeaderValue(std::string_view message, std::string_view name);

// Returns the status of a response, or 0.
int StatusOf(std::string_view response);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_PROXY_HTTP_MESSAGE_SPLITTER_H_
