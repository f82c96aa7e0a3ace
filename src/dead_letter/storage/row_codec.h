// Converts dead letters to rows of the table `kept` and back. The names of table and columns are stored, so
// they stay as they were released. Functions without state, called by Database.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_ROW_CODEC_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_ROW_CODEC_H_

#include <string>

#include "dead_letter/dead_letter.h"
#include "dead_letter/storage/sqlite.h"

namespace sagetally::dead_letter {

// Returns "SELECT <columns> FROM kept ", whose rows ReadRow and ReadSequence can read.
std::string SelectRows(bool with_body);

// Reads the current row. `with_body` must be the value that was passed to SelectRows.
DeadLetter ReadRow(const SqliteStatement& row, bool with_body);
// Returns the position of the row in the order of storing (column `seq`).
std::int64_t ReadSequence(const SqliteStatement& row);

// Binds the columns reason, attempts, history, last_outcome, may_have_run, may_steady, may_boot and may_at,
// in this order. These are the columns that a redrive changes.
void BindAttempts(SqliteStatement& statement, const DeadLetter& dead_letter);

// Returns the value of the column `rank`: 0 for completed messages, which are evicted first, otherwise 1.
int EvictionRank(DeadLetterState state);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_ROW_CODEC_H_
