// The fields that the rule language knows, and the check that a condition uses them as they allow.
#ifndef SAGETALLY_SRC_DEAD_LETTER_RULE_FIELDS_H_
#define SAGETALLY_SRC_DEAD_LETTER_RULE_FIELDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "dead_letter/redrive_rules.h"

namespace sagetally::dead_letter {

struct FieldInfo {
  std::string_view name;  // in the language
  Field field;
  LiteralType type;
  std::string_view expected;  // how errors describe a value
  std::string_view column;    // of the store
};

const FieldInfo& InfoOf(Field field);

// Fills `field` of every comparison in `condition`, which was read from `text`, and checks operators and
// values. `classes`: the configured names; empty: any word is a class. Throws RuleError.
void CheckTypes(Condition& condition, std::string_view text, const std::vector<std::string>& classes);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_RULE_FIELDS_H_
