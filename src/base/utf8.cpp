#include "base/utf8.h"

#include <simdjson.h>

#include <boost/locale/utf.hpp>

namespace sagetally {
namespace {

using Utf8 = boost::locale::utf::utf_traits<char>;

constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";

// Decodes the character at the beginning of `text`, which must not be empty. Returns its length in bytes, or
// 0 if it is not well-formed.
std::size_t CharacterLength(std::string_view text) {
  const char* position = text.data();
  const auto character = Utf8::decode(position, text.data() + text.size());
  const bool is_valid =
      character != boost::locale::utf::illegal && character != boost::locale::utf::incomplete;
  return is_valid ? static_cast<std::size_t>(position - text.data()) : 0;
}

}  // namespace

bool IsUtf8(std::string_view text) { return simdjson::validate_utf8(text.data(), text.size()); }

std::string ReplaceInvalidUtf8(std::string_view text) {
  if (IsUtf8(text)) return std::string(text);
  std::string valid;
  valid.reserve(text.size());
  while (!text.empty()) {
    const std::size_t length = CharacterLength(text);
    valid += length > 0 ? text.substr(0, length) : kReplacementCharacter;
    text.remove_prefix(length > 0 ? length : 1);
  }
  return valid;
}

}  // namespace sagetally
