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

#include "net/libevent_ptr.h"
#include "net/size_only_body.h"

namespace sagetally {

// Reads requests one after another. Limits their size on the wire and in memory, and rejects a request whose
// end is ambiguous.
//
// A request is kept once, as the bytes that were received: another process may have to continue reading it.
// They are checked as they come by a parser that keeps no body, and parsed into a request when it is
// complete.
class RequestReader {
 public:
  using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

  struct Limits {
    std::size_t max_head_bytes = 0;
    std::size_t max_body_bytes = 0;
  };
  // A head may have so many fields, because a field takes up far more in memory than its shortest form on the
  // wire.
  static constexpr std::size_t kMaxFields = 100;

  // The result of one Read().
  enum class Step {
    kParsed,           // some bytes were consumed; Read() may be called again
    kBlocked,          // more bytes are needed
    kExpectsContinue,  // the client waits for a 100 response before it sends the body
    kComplete,         // a request is complete; TakeRequest() returns it
    kRejected          // the request is to be answered with rejection_status(); nothing more may be read
  };

  explicit RequestReader(Limits limits);

  // The limit of bytes that are received and not yet parsed. A connection stops reading beyond it.
  std::size_t max_unparsed_bytes() const { return 2 * limits_.max_head_bytes; }
  // Returns whether a request has begun and is not complete.
  bool is_reading() const { return is_reading_; }
  // Returns the bytes of the request being read that were removed from the buffer.
  std::string CopyReceivedBytes() const;
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
  using CheckingParser = boost::beast::http::request_parser<SizeOnlyBody>;
  using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  // What a field takes up beside its text: the parser's entry, and two strings in the list of headers.
  static constexpr std::size_t kFieldBytes = 160;

  bool HasTooManyLines(evbuffer* input) const;
  Step ReadIntoRequest(evbuffer* input);
  Step Check(evbuffer* input);
  template <typename Parser>
  void SetLimits(Parser& parser) const;
  template <typename Parser>
  std::optional<Step> CheckHead(Parser& parser);
  std::size_t MaxReceivedBytes() const;
  bool ParseReceived();
  Step Reject(int status);

  const Limits limits_;
  bool is_reading_ = false;
  bool is_head_checked_ = false;
  std::size_t head_line_count_ = 0;        // lines of the head that the checker has consumed
  std::optional<CheckingParser> checker_;  // of a request that did not come at once
  BufferPtr received_;                     // what the checker has consumed
  std::optional<HttpRequest> request_;     // complete
  int rejection_status_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_REQUEST_READER_H_
