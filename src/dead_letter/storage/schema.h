// The schema of the store, as steps from each version to the next. A step, once released, never changes.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_SCHEMA_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_SCHEMA_H_

#include <array>

namespace sagetally::dead_letter {

// Step i leads from version i to version i + 1.
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

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_SCHEMA_H_
