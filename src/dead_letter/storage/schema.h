// The schema of the dead-letter store: its migrations, and the constants that its statements share. The names
// and numbers in this file are stored, so they stay as they were released. Called by Database.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_SCHEMA_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_SCHEMA_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "dead_letter/dead_letter.h"
#include "dead_letter/storage/sqlite.h"

namespace sagetally::dead_letter {

// Step i migrates from version i to version i + 1. A released step must not change, including its comments,
// which SQLite stores with the statement.
inline constexpr std::array<const char*, 2> kMigrations = {
    R"sql(
CREATE TABLE kept (
  seq INTEGER PRIMARY KEY,         -- order of keeping
  node TEXT NOT NULL,
  number INTEGER NOT NULL,         -- of the message in its node's journal
  state INTEGER NOT NULL,
  id TEXT NOT NULL,
  key TEXT NOT NULL,
  class TEXT NOT NULL,
  destination INTEGER NOT NULL,
  form INTEGER NOT NULL,
  attributes TEXT NOT NULL,        -- JSON
  body_size INTEGER NOT NULL,
  taken_at INTEGER NOT NULL,       -- times in microseconds since 1970
  deadline INTEGER NOT NULL,
  ended_at INTEGER NOT NULL,
  end INTEGER NOT NULL,
  reason INTEGER NOT NULL,
  attempts INTEGER NOT NULL,
  history TEXT NOT NULL,           -- JSON
  last_outcome INTEGER NOT NULL,
  may_have_run INTEGER,            -- the earliest attempt that may have run
  may_steady INTEGER NOT NULL,
  may_boot INTEGER NOT NULL,
  may_at TEXT NOT NULL,
  resends INTEGER NOT NULL DEFAULT 0,
  worth REAL NOT NULL,
  rank INTEGER NOT NULL DEFAULT 1, -- 0: over, evicted first
  next_at INTEGER NOT NULL DEFAULT 0, -- not looked at again before
  seen INTEGER NOT NULL DEFAULT 0, -- generation of the rules that looked at it
  by_hand INTEGER NOT NULL DEFAULT 0,
  rule TEXT NOT NULL DEFAULT '',
  ground TEXT NOT NULL DEFAULT '',
  body BLOB NOT NULL,
  UNIQUE (node, number)
);
CREATE INDEX kept_due ON kept (state, seen, next_at);
CREATE INDEX kept_evict ON kept (rank, worth, ended_at) WHERE state <> 2;
CREATE INDEX kept_age ON kept (ended_at);
)sql",
    R"sql(
ALTER TABLE kept ADD COLUMN life INTEGER NOT NULL DEFAULT 0;
ALTER TABLE kept ADD COLUMN identity INTEGER;
ALTER TABLE kept ADD COLUMN not_before INTEGER NOT NULL DEFAULT 0;
CREATE TABLE rules (
  only INTEGER PRIMARY KEY CHECK (only = 1), hash INTEGER NOT NULL, generation INTEGER NOT NULL);
CREATE INDEX kept_identity ON kept (identity) WHERE identity IS NOT NULL;
CREATE INDEX kept_id ON kept (id);
CREATE INDEX kept_filter ON kept (class, destination, reason, end, state, ended_at, attempts, resends,
                                  body_size, last_outcome, may_have_run);
)sql"};
inline constexpr int kSchemaVersion = static_cast<int>(kMigrations.size());

// Conditions on the column `state`. SQLite uses the partial index kept_evict only for queries that contain
// kNotClaimed in exactly this form.
inline constexpr const char* kOpenState = "state IN (0, 1)";  // stored or held: may still be redriven
inline constexpr const char* kRedrivableState = "state IN (0, 1, 2)";  // open or claimed
inline constexpr const char* kNotClaimed = "state <> 2";
inline constexpr const char* kClaimedState = "state = 2";
static_assert(static_cast<int>(DeadLetterState::kStored) == 0 &&
              static_cast<int>(DeadLetterState::kHeld) == 1 &&
              static_cast<int>(DeadLetterState::kClaimed) == 2);

// Value of the column `next_at` for messages that do not become due by time.
inline constexpr std::int64_t kNeverDue = std::int64_t{1} << 61;
// Value of the column `seen` for messages that an operator holds: higher than any generation of the rules, so
// that no rule reviews them again.
inline constexpr std::int64_t kHeldByOperator = std::int64_t{1} << 61;

// Both functions set the pragmas of a connection that was just opened to the file at `path`. They throw
// StoreError, with kNewerSchema if a later version of the program wrote the file. MigrateSchema migrates an
// older schema and limits the file to somewhat more than `budget_bytes`.
void MigrateSchema(SqliteConnection& connection, const std::string& path, std::size_t budget_bytes);
// Changes nothing in the file; the schema must be the present one.
void CheckSchemaForReading(SqliteConnection& connection, const std::string& path);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_SCHEMA_H_
