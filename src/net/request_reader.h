// Reads the HTTP requests of one client's connection.
#ifndef SAGETALLY_SRC_NET_REQUEST_READER_H_
#define SAGETALLY_SRC_NET_REQUEST_READER_H_

#include <event2/buffer.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace sagetally {

// Bounds the size of a request, and rejects one whose end is ambiguous. Owned by a ServerConnection.
class RequestReader {
 public:
  using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

  struct Limits {
    std::size_t max_head_bytes = 0;
    std::size_t max_body_bytes = 0;
  };

  enum class Step {
    kParsed,           // read on: some bytes were consumed
    kBlocked,          // more bytes are needed
    kExpectsContinue,  // the client waits for a 100 before it sends the body
    kComplete,         // TakeRequest() has it
    kRejected          // answer with rejection_status() and read no further
  };

  explicit RequestReader(Limits limits) : limits_(limits) {}

  // Bytes that may wait in front of the parser; a connection reads no further ahead.
  std::size_t max_unparsed_bytes() const { return 2 * limits_.max_head_bytes; }
  // A request has begun and is not complete.
  bool is_reading() const { return parser_.has_value(); }
  // The bytes of the request that is being read which have left the buffer.
  const std::string& consumed_bytes() const { return consumed_bytes_; }
  // HTTP status for a request that was rejected.
  int rejection_status() const { return rejection_status_; }

  // Consumes bytes of `input`, which is not empty.
  Step Read(evbuffer* input);
  // The request that is complete; the next Read() begins another.
  HttpRequest TakeRequest();
  // Forgets a request that has begun.
  void Reset();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void StartRequest();
  Step Reject(int status);

  const Limits limits_;
  std::optional<Parser> parser_;  // of the request that is being read
  bool head_checked_ = false;
  std::string consumed_bytes_;
  int rejection_status_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_REQUEST_READER_H_
