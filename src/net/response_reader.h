// Reads the HTTP responses to calls on one connection.
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

// Bounds the size, the number of interim (1xx) responses and the time of a response. Owned by an
// EndpointConnection.
class ResponseReader {
 public:
  enum class State { kIncomplete, kComplete, kInvalid };

  // Bytes that may wait in front of the parser; a connection reads no further ahead.
  static constexpr std::size_t kMaxUnparsedBytes = 32 * 1024;

  // `on_timed_out`: a response has begun and was not complete in time.
  ResponseReader(EventLoop& loop, std::function<void()> on_timed_out);

  // A new call was made: its response is the next to come.
  void ExpectResponse();
  // The call is over. Forgets the response and stops its timer, but not whether it began with a 200.
  void Stop();

  // Consumes bytes until a final response is complete. kIncomplete: more bytes are needed.
  State Read(evbuffer* input);
  // The peer has ended the connection, which may be what ends the body. False if that completes no response.
  bool ReadEndOfStream();

  // Whether the status line that came last says 200. The call has been delivered then, whatever becomes of
  // the rest.
  bool has_ok_status() const { return has_ok_status_; }
  // These two only after kComplete, and before Stop().
  const EndpointResponse& response() const { return parser_->get(); }
  bool keep_alive() const { return parser_->keep_alive(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  std::optional<State> ReadStep(evbuffer* input);
  void StartResponse(evbuffer* input);
  bool AcceptHead();
  bool SkipInterimResponse();

  Timer response_timer_;
  std::optional<Parser> parser_;  // of the response that is coming
  bool has_ok_status_ = false;
  int interim_response_count_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_RESPONSE_READER_H_
