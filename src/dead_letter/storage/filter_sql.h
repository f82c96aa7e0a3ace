// Translates conditions of the rule language into SQL over the columns of the store.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_FILTER_SQL_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_FILTER_SQL_H_

#include <string>
#include <vector>

#include "dead_letter/redrive_rules.h"
#include "dead_letter/storage/sqlite.h"

namespace sagetally::dead_letter {

// An expression for WHERE, with the values of its parameters in order.
struct SqlCondition {
  std::string text;
  std::vector<SqlValue> parameters;
};

// Finds the messages that Matches() accepts (rule_evaluation.h). `condition` has passed CheckTypes.
SqlCondition ToSql(const Condition& condition, Time now);

// Whether the index kept_filter has all the columns that the condition looks at.
bool IsCoveredByFilterIndex(const Condition& condition);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_FILTER_SQL_H_
