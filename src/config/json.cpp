#include "config/json.h"

namespace sagetally::json {

std::string Quote(std::string_view text) {
  static constexpr char kHex[] = "0123456789abcdef";
  std::string out = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += {'\\', c};
    } else if (byte < 0x20) {
      out += {'\\', 'u', '0', '0', kHex[byte >> 4], kHex[byte & 15]};
    } else {
      out += c;
    }
  }
  return out += '"';
}

}  // namespace sagetally::json
