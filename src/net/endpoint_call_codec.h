// The HTTP form of calls to endpoints: requests as the platform's protocol wants them, and what its answers
// mean. No I/O.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_CALL_CODEC_H_
#define SAGETALLY_SRC_NET_ENDPOINT_CALL_CODEC_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "core/message.h"

namespace sagetally {

using EndpointResponse = boost::beast::http::response<boost::beast::http::string_body>;

// The whole request of a call, to an endpoint at `host` ("10.0.0.4:8443").
std::string EncodeCall(const CallRequest& call, const std::string& host);

// The result that a final response (2xx to 5xx) stands for. Its `number` is not set.
CallResult DecodeCallResult(const EndpointResponse& response);

// Parses an X-Load header ("x0=0.4,x1=25"). Empty report if any part of it is malformed.
LoadReport ParseLoadReport(std::string_view text);

// Formats the X-Deadline header: whole milliseconds, rounded down, at least 1 ("250m").
std::string FormatDeadline(Duration time_left);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_CALL_CODEC_H_
