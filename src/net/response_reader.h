// Reads the HTTP responses to the calls on one connection. Owned by an EndpointConnection and used on the
// event loop's thread.
#ifndef SAGETALLY_SRC_NET_RESPONSE_READER_H_
#define SAGETALLY_SRC_NET_RESPONSE_READER_H_

#include <event2/buffer.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>

#include "net/endpoint_call_codec.h"
#include "net/event_loop.h"

namespace sagetally {

// Parses one response after another. Limits the size of a response, the number of interim (1xx) responses
// before it, and the time from its first byte to its last.
class ResponseReader {
 public:
  // The result of one Read().
  enum class State {
    kIncomplete,  // more bytes are needed
    kComplete,    // response() is the final response
    kInvalid      // the response is malformed or exceeds a limit
  };

  // The limit of bytes that are received and not yet parsed. A connection stops reading beyond it.
  static constexpr std::size_t kMaxUnparsedBytes = 32 * 1024;

  // Calls `on_timed_out` if a response has begun and is not complete in time.
  ResponseReader(EventLoop& loop, std::function<void()> on_timed_out);

  // To be called when a new call is made, to which the next response belongs.
  void ExpectResponse();
  // To be called when the call is over. Discards the response and stops its timer, but keeps has_ok_status().
  void Stop();

  // Consumes bytes until a final response is complete.
  State Read(evbuffer* input);
  // To be called when the peer has ended the connection, which may mark the end of the body. Returns whether
  // this completes a final response.
  bool ReadEndOfStream();

  // Returns whether a response has begun and is not complete.
  bool has_begun() const { return parser_.has_value(); }
  // Returns whether the last status line received says 200. The call was then delivered, even if the rest of
  // the response is missing or malformed.
  bool has_ok_status() const { return has_ok_status_; }
  // response() and keep_alive() may be called only after kComplete or ReadEndOfStream(), and before Stop().
  const EndpointResponse& response() const { return parser_->get(); }
  bool keep_alive() const { return parser_->keep_alive(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  std::optional<State> ReadStep(evbuffer* input);
  void StartResponse(evbuffer* input);
  bool AcceptHead();
  bool SkipInterimResponse();

  Timer response_timer_;
  std::optional<Parser> parser_;  // of the response being read
  bool has_ok_status_ = false;
  int interim_response_count_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_RESPONSE_READER_H_
