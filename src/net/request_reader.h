// Reads the HTTP requests of one client's connection. Owned by a ServerConnection and used on the event
// loop's thread.
#ifndef SAGETALLY_SRC_NET_REQUEST_READER_H_
#define SAGETALLY_SRC_NET_REQUEST_READER_H_

#include <event2/buffer.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace sagetally {

// Parses requests one after another. Limits their size, and rejects a request whose end is ambiguous.
class RequestReader {
 public:
  using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

  struct Limits {
    std::size_t max_head_bytes = 0;
    std::size_t max_body_bytes = 0;
  };

  // The result of one Read().
  enum class Step {
    kParsed,           // some bytes were consumed; Read() may be called again
    kBlocked,          // more bytes are needed
    kExpectsContinue,  // the client waits for a 100 response before it sends the body
    kComplete,         // a request is complete; TakeRequest() returns it
    kRejected          // the request is to be answered with rejection_status(); nothing more may be read
  };

  explicit RequestReader(Limits limits) : limits_(limits) {}

  // The limit of bytes that are received and not yet parsed. A connection stops reading beyond it.
  std::size_t max_unparsed_bytes() const { return 2 * limits_.max_head_bytes; }
  // Returns whether a request has begun and is not complete.
  bool is_reading() const { return parser_.has_value(); }
  // The bytes of the request being read that were removed from the buffer.
  const std::string& consumed_bytes() const { return consumed_bytes_; }
  // The memory that the request being read takes up, in bytes, without what is still in the buffer.
  std::size_t HeldBytes() const;
  // The memory that a field of a head takes up, in bytes.
  static std::size_t MemoryOf(const boost::beast::http::fields::value_type& field) {
    return kFieldBytes + field.name_string().size() + field.value().size();
  }
  // The HTTP status of the response to a rejected request.
  int rejection_status() const { return rejection_status_; }

  // Parses and consumes bytes of `input`, which must not be empty.
  Step Read(evbuffer* input);
  // Returns the complete request. The next Read() begins another one.
  HttpRequest TakeRequest();
  // Discards the request being read.
  void Reset();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  // What a field takes up beside its text: the parser's entry, and two strings in the list of headers.
  static constexpr std::size_t kFieldBytes = 160;

  void StartRequest();
  Step Reject(int status);

  const Limits limits_;
  std::optional<Parser> parser_;  // of the request being read
  bool head_checked_ = false;
  std::string consumed_bytes_;
  int rejection_status_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_REQUEST_READER_H_
