// The error for a rule file or filter that can't be used. Safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_ERROR_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_ERROR_H_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sagetally::dead_letter {

// A place in a text. Lines and columns count from 1, columns in bytes.
struct SourcePosition {
  std::size_t line = 1;
  std::size_t column = 1;
};

// Returns the position of the byte at `offset`, or of the end of the text if `offset` is beyond it.
SourcePosition PositionOf(std::string_view text, std::size_t offset);

struct RuleError : std::runtime_error {
  // The text of what() is, for example, "line 3, column 14: expected a duration, found ..."
  RuleError(SourcePosition position, const std::string& expectation);

  SourcePosition position;
  std::string expectation;  // "expected a duration, found ..."
};

// Throws RuleError with the position of `offset` in `text`.
[[noreturn]] void ThrowRuleError(std::string_view text, std::size_t offset, const std::string& expectation);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_ERROR_H_
