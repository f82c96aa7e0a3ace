// Translates conditions of the rule language into SQL over the columns of the store. Functions without state,
// called by Database.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_FILTER_SQL_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_FILTER_SQL_H_

#include <string>
#include <vector>

#include "dead_letter/redrive_rules.h"
#include "dead_letter/storage/sqlite.h"

namespace sagetally::dead_letter {

// An expression for a WHERE clause, with the values of its parameters in order.
struct SqlCondition {
  std::string text;
  std::vector<SqlValue> parameters;
};

// Returns SQL that selects the messages for which Matches() (rule_evaluation.h) is true. `condition` must
// have passed CheckTypes.
SqlCondition ToSql(const Condition& condition, Time now);

// Whether the index kept_filter contains all the columns that the condition uses.
bool IsCoveredByFilterIndex(const Condition& condition);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_FILTER_SQL_H_
