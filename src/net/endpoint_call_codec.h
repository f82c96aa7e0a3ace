// Encodes calls to endpoints as HTTP requests of the platform's protocol, and decodes the responses. Does no
// I/O and keeps no state.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_CALL_CODEC_H_
#define SAGETALLY_SRC_NET_ENDPOINT_CALL_CODEC_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "core/message.h"

namespace sagetally {

using EndpointResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Returns the whole HTTP request of `call`, headers and body. `host` is the value of its Host header, such as
// "10.0.0.4:8443".
std::string EncodeCall(const CallRequest& call, const std::string& host);

// Returns the result of a call with the final response `response` (status 2xx to 5xx). The result's
// `message_number` is not set.
CallResult DecodeCallResult(const EndpointResponse& response);

// Returns a hash of the status, the headers and the body. Equal for repeated responses.
std::size_t Fingerprint(const EndpointResponse& response);

// Parses the value of an X-Load header, such as "x0=0.4,x1=25". Returns an empty report if any part of it is
// malformed.
LoadReport ParseLoadReport(std::string_view text);

// Formats the value of an X-Deadline header, such as "250m": whole milliseconds, rounded down, at least 1.
std::string FormatDeadline(Duration time_left);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_CALL_CODEC_H_
