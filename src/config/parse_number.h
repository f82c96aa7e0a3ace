// Parses numbers in text that comes from outside the process. Callable on any thread.
#ifndef SAGETALLY_SRC_CONFIG_PARSE_NUMBER_H_
#define SAGETALLY_SRC_CONFIG_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace sagetally {

// Parses all of `text` as a decimal number without white space. Returns no value if it is not a number or is
// out of the range of T.
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
