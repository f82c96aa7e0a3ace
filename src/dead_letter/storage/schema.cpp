#include "dead_letter/storage/schema.h"

namespace sagetally::dead_letter {
namespace {

constexpr std::size_t kPageBytes = 4096;

int ReadVersion(SqliteConnection& connection) {
  CachedStatement version = connection.Prepare("PRAGMA user_version");
  version->Step();
  return static_cast<int>(version->Integer(0));
}

int ReadSupportedVersion(SqliteConnection& connection, const std::string& path) {
  const int version = ReadVersion(connection);
  if (version <= kSchemaVersion) return version;
  throw StoreError(StoreError::Kind::kNewerSchema,
                   path + " has schema version " + std::to_string(version) +
                       ", but this program supports versions up to " + std::to_string(kSchemaVersion),
                   "");
}

void RunMigration(SqliteConnection& connection, int from_version) {
  SqliteTransaction transaction(connection);
  connection.Execute(kMigrations[static_cast<std::size_t>(from_version)]);
  connection.Execute("PRAGMA user_version = " + std::to_string(from_version + 1));
  transaction.Commit();
}

}  // namespace

void CheckSchemaForReading(SqliteConnection& connection, const std::string& path) {
  const int version = ReadSupportedVersion(connection, path);
  if (version != kSchemaVersion) {
    throw StoreError(
        StoreError::Kind::kOther,
        path + " has schema version " + std::to_string(version) + "; start the node once to migrate it", "");
  }
  connection.Execute("PRAGMA query_only = 1; PRAGMA cache_size = -16000;");
}

void MigrateSchema(SqliteConnection& connection, const std::string& path, std::size_t budget_bytes) {
  const int version = ReadSupportedVersion(connection, path);
  if (version == 0) connection.Execute("PRAGMA auto_vacuum = INCREMENTAL");
  // With these settings a commit survives the end of the process without a sync. A power failure may lose the
  // last commits, but does not damage the file; the messages of lost commits are still pending in the journal
  // if the journal's own records survived the power failure.
  connection.Execute(
      "PRAGMA journal_mode = WAL; PRAGMA synchronous = NORMAL; PRAGMA cache_size = -2000; "
      "PRAGMA wal_autocheckpoint = 500; PRAGMA journal_size_limit = 4000000;");
  for (int step = version; step < kSchemaVersion; ++step) RunMigration(connection, step);
  // Eviction keeps the file within the budget. The page limit, a quarter above the budget plus 256 pages,
  // keeps a burst of messages between two evictions from exceeding it much further.
  const std::size_t max_pages = budget_bytes / kPageBytes * 5 / 4 + 256;
  connection.Execute("PRAGMA max_page_count = " + std::to_string(max_pages));
}

}  // namespace sagetally::dead_letter
