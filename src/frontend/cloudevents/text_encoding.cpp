#include "frontend/cloudevents/text_encoding.h"

#include <charconv>
#include <cstddef>
#include <optional>

#include "config/format_error.h"

namespace sagetally {
namespace {

bool IsUnreservedInHeader(unsigned char byte) {
  return byte >= 0x21 && byte <= 0x7e && byte != '"' && byte != '%';
}

// Returns the byte that two hexadecimal digits represent, or nothing if they are not hexadecimal.
std::optional<char> ParseHexByte(std::string_view digits) {
  unsigned byte = 0;
  const char* end = digits.data() + digits.size();
  if (std::from_chars(digits.data(), end, byte, 16).ptr != end) return std::nullopt;
  return static_cast<char>(byte);
}

// Returns the value of a base64 digit, 0 to 63.
std::optional<unsigned> Base64Digit(char c) {
  if (c >= 'A' && c <= 'Z') return c - 'A';
  if (c >= 'a' && c <= 'z') return c - 'a' + 26;
  if (c >= '0' && c <= '9') return c - '0' + 52;
  if (c == '+') return 62;
  if (c == '/') return 63;
  return std::nullopt;
}

[[noreturn]] void ThrowInvalidBase64() {
  throw FormatError("data_base64 is no base64", {"data_base64", "base64", ""});
}

}  // namespace

std::string EncodeHeader(std::string_view value, std::string_view extra_reserved) {
  static constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (IsUnreservedInHeader(byte) && extra_reserved.find(c) == std::string_view::npos) {
      encoded += c;
    } else {
      encoded += {'%', kHexDigits[byte >> 4], kHexDigits[byte & 15]};
    }
  }
  return encoded;
}

std::string DecodeHeader(std::string_view value) {
  std::string decoded;
  for (std::size_t i = 0; i < value.size(); ++i) {
    std::optional<char> byte;
    if (value[i] == '%' && i + 2 < value.size()) byte = ParseHexByte(value.substr(i + 1, 2));
    decoded += byte.value_or(value[i]);
    if (byte) i += 2;
  }
  return decoded;
}

std::string DecodeBase64(std::string_view text) {
  static constexpr int kBitsPerDigit = 6;
  static constexpr int kBitsPerByte = 8;
  if (text.size() % 4 != 0) ThrowInvalidBase64();
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  std::string decoded;
  unsigned bits = 0;
  int pending_bits = 0;  // the number of lowest bits of `bits` that were not written to `decoded` yet
  for (const char c : text) {
    const std::optional<unsigned> digit = Base64Digit(c);
    if (!digit) ThrowInvalidBase64();
    bits = bits << kBitsPerDigit | *digit;
    pending_bits += kBitsPerDigit;
    if (pending_bits >= kBitsPerByte) {
      pending_bits -= kBitsPerByte;
      decoded += static_cast<char>(bits >> pending_bits & 0xff);
    }
  }
  return decoded;
}

}  // namespace sagetally
