// The fields of the rule language, and the check that a condition uses operators and values that suit its
// fields. Functions without state, safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_FIELDS_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_FIELDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

// The description of a field.
struct FieldInfo {
  std::string_view name;  // in the rule language
  Field field;
  LiteralType type;
  std::string_view expected;  // describes a valid value in errors
  std::string_view column;    // of the table `kept` in the store
};

// Returns the description of a field.
const FieldInfo& InfoOf(Field field);

// Sets `field` in every comparison of `condition`, which was read from `text`, and checks operators and
// values. `classes` are the configured class names; if it is empty, any word is accepted as a class. Throws
// RuleError.
void CheckTypes(Condition& condition, std::string_view text, const std::vector<std::string>& classes);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_FIELDS_H_
