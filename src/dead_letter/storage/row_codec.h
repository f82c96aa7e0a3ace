// Dead letters as rows of the table `kept`. The columns keep the words with which they were released.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_ROW_CODEC_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_ROW_CODEC_H_

#include <string>

#include "dead_letter/dead_letter.h"
#include "dead_letter/storage/sqlite.h"

namespace sagetally::dead_letter {

// "SELECT <columns> FROM kept ", for ReadRow and ReadSequence.
std::string SelectRows(bool with_body);

// `with_body` as in the SELECT.
DeadLetter ReadRow(const SqliteStatement& row, bool with_body);
// The place of the row in the order of storing.
std::int64_t ReadSequence(const SqliteStatement& row);

// Binds the columns reason, attempts, history, last_outcome, may_have_run, may_steady, may_boot and may_at,
// in this order: what a redrive changes.
void BindAttempts(SqliteStatement& statement, const DeadLetter& dead_letter);

// The column `rank`, by which completed messages are evicted first.
int EvictionRank(DeadLetterState state);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_ROW_CODEC_H_
