// The two encodings of CloudEvents: percent-encoding of attributes in HTTP headers (HTTP binding, 3.1.3.2),
// and base64 of binary data in JSON.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_TEXT_ENCODING_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_TEXT_ENCODING_H_

#include <string>
#include <string_view>

namespace sagetally {

// Percent-encodes bytes outside 0x21 to 0x7e, quotes, per cent signs, and the characters in `also`.
std::string EncodeHeader(std::string_view value, std::string_view also = "");
// Decodes a percent-encoded value. A per cent sign without two hexadecimal digits after it stands for itself.
std::string DecodeHeader(std::string_view value);

// Decodes base64 with its padding. Throws FormatError naming data_base64.
std::string DecodeBase64(std::string_view text);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_TEXT_ENCODING_H_
