// The two text encodings of CloudEvents: percent-encoding of attributes in HTTP headers (section 3.1.3.2 of
// the HTTP binding), and base64 of binary data in JSON. Does no I/O and keeps no state.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_TEXT_ENCODING_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_TEXT_ENCODING_H_

#include <string>
#include <string_view>

namespace sagetally {

// Percent-encodes bytes outside the range 0x21 to 0x7e, double quotes, percent signs, and the characters in
// `extra_reserved`.
std::string EncodeHeader(std::string_view value, std::string_view extra_reserved = "");
// Decodes a percent-encoded value. A percent sign that is not followed by two hexadecimal digits is kept.
std::string DecodeHeader(std::string_view value);

// Decodes base64 text, which must be padded. Throws FormatError that names data_base64.
std::string DecodeBase64(std::string_view text);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_TEXT_ENCODING_H_
