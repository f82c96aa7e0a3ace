#include "core/policy_message_id.h"

#include <charconv>
#include <system_error>

namespace sagetally {

std::string ToPolicyMessageId(std::uint64_t number) { return std::to_string(number); }

std::optional<std::uint64_t> ParsePolicyMessageId(std::string_view id) {
  std::uint64_t number = 0;
  const std::from_chars_result parsed = std::from_chars(id.data(), id.data() + id.size(), number);
  if (parsed.ec != std::errc()) return std::nullopt;
  return number;
}

}  // namespace sagetally
