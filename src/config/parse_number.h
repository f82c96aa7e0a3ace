// Reading numbers from text that comes from outside.
#ifndef SAGETALLY_SRC_CONFIG_PARSE_NUMBER_H_
#define SAGETALLY_SRC_CONFIG_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace sagetally {

// Returns the number that the whole of `text` writes, in decimal and without white space; nothing if it is no
// number or out of the range of T.
template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const char* end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_PARSE_NUMBER_H_
