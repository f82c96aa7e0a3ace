#include "dead_letter/rule_error.h"

#include <algorithm>

namespace sagetally::dead_letter {

SourcePosition PositionOf(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  const auto line_ends = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
  const std::size_t last_line_end = before.rfind('\n');
  const std::size_t line_start = last_line_end == std::string_view::npos ? 0 : last_line_end + 1;
  return {line_ends + 1, before.size() - line_start + 1};
}

RuleError::RuleError(SourcePosition position, const std::string& expectation)
    : std::runtime_error("line " + std::to_string(position.line) + ", column " +
                         std::to_string(position.column) + ": " + expectation),
      position(position),
      expectation(expectation) {}

void ThrowRuleError(std::string_view text, std::size_t offset, const std::string& expectation) {
  throw RuleError(PositionOf(text, offset), expectation);
}

}  // namespace sagetally::dead_letter
