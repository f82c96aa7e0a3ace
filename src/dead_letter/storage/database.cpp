#include "dead_letter/storage/database.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <map>
#include <utility>

#include "dead_letter/dead_letter_json.h"
#include "dead_letter/storage/row_codec.h"

namespace sagetally::dead_letter {
namespace {

constexpr int kEvictionChunkRows = 20;  // in one transaction, so that other connections do not wait long
constexpr mode_t kFileMode = 0600;

// Returns 0 if there is no such file.
std::uint64_t InodeOf(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 ? status.st_ino : 0;
}

// Creates the file before SQLite opens it, so that other users can't read it at any moment. SQLite gives the
// files that belong to it (-wal, -shm) the same mode.
void CreateFile(const std::string& path) {
  const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) throw StoreError(StoreError::Kind::kOther, "can't open " + path, "");
  ::close(descriptor);
}

SqliteConnection::Settings ConnectionSettings(const Database::Settings& settings) {
  if (!settings.read_only) CreateFile(settings.path);
  return {settings.path, settings.read_only, settings.busy_timeout};
}

DeadLetterState StateAfterRedrive(FinalStatus status) {
  switch (status) {
    case FinalStatus::kDelivered:
      return DeadLetterState::kDelivered;
    case FinalStatus::kExpired:
      return DeadLetterState::kDropped;
    default:
      return DeadLetterState::kStored;
  }
}

// Removes one chunk of the rows that match `selection`, a WHERE clause. Returns how many were removed, and
// adds them to `by_class`.
std::int64_t EvictChunk(SqliteConnection& connection, const std::string& selection,
                        const std::vector<SqlValue>& parameters,
                        std::map<std::string, std::int64_t>& by_class) {
  SqliteTransaction transaction(connection);
  std::vector<std::int64_t> sequences;
  {
    CachedStatement rows = connection.Prepare("SELECT seq, class FROM kept " + selection + " LIMIT ?");
    rows->BindAll(parameters).Bind(kEvictionChunkRows);
    while (rows->Step()) {
      sequences.push_back(rows->Integer(0));
      ++by_class[rows->Bytes(1)];
    }
  }
  for (const std::int64_t sequence : sequences) {
    connection.Prepare("DELETE FROM kept WHERE seq = ?")->Bind(sequence).Step();
  }
  transaction.Commit();
  return static_cast<std::int64_t>(sequences.size());
}

}  // namespace

Database::Database(Settings settings)
    : settings_(std::move(settings)), connection_(ConnectionSettings(settings_)) {
  if (settings_.read_only) {
    CheckSchemaForReading(connection_, settings_.path);
  } else {
    MigrateSchema(connection_, settings_.path, settings_.budget_bytes);
  }
  inode_ = InodeOf(settings_.path);
}

bool Database::IsFileInPlace() const { return inode_ != 0 && InodeOf(settings_.path) == inode_; }

std::optional<DeadLetter> Database::ReadById(const DeadLetterId& id, bool with_body) {
  CachedStatement row = connection_.Prepare(SelectRows(with_body) + "WHERE node = ? AND number = ?");
  row->Bind(id.node).Bind(id.number);
  if (!row->Step()) return std::nullopt;
  return ReadRow(*row, with_body);
}

bool Database::Insert(const Entry& entry) {
  const DeadLetter& dead_letter = entry.dead_letter;
  const Request& request = dead_letter.request;
  CachedStatement row = connection_.Prepare(
      "INSERT OR IGNORE INTO kept (node, number, state, id, key, class, destination, form, attributes, "
      "body_size, taken_at, deadline, ended_at, end, reason, attempts, history, last_outcome, may_have_run, "
      "may_steady, may_boot, may_at, worth, not_before, body, identity, resends, life, rank) "
      "VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
  row->Bind(dead_letter.id.node).Bind(dead_letter.id.number).Bind(static_cast<int>(dead_letter.state));
  row->Bind(request.id).Bind(request.idempotency_key).Bind(dead_letter.class_name);
  row->Bind(request.destination).Bind(static_cast<int>(request.protocol));
  row->Bind(AttributesToJson(request.attributes)).Bind(std::uint64_t{dead_letter.body_size});
  row->Bind(dead_letter.accepted_at).Bind(dead_letter.deadline).Bind(dead_letter.ended_at);
  row->Bind(static_cast<int>(dead_letter.final_status));
  BindAttempts(*row, dead_letter);
  row->Bind(dead_letter.priority_weight).Bind(entry.not_before).BindBlob(request.body);
  row->BindOptional(entry.identity).Bind(dead_letter.redrives).Bind(dead_letter.incarnation);
  row->Bind(EvictionRank(dead_letter.state)).Step();
  return connection_.changed_rows() > 0;
}

bool Database::IsStoredAsSame(const DeadLetter& dead_letter) {
  CachedStatement row =
      connection_.Prepare("SELECT taken_at, ended_at FROM kept WHERE node = ? AND number = ?");
  row->Bind(dead_letter.id.node).Bind(dead_letter.id.number);
  return row->Step() && row->Microseconds(0) == dead_letter.accepted_at &&
         row->Microseconds(1) == dead_letter.ended_at;
}

void Database::InsertOnce(const Entry& entry) {
  if (Insert(entry) || IsStoredAsSame(entry.dead_letter)) return;
  // The number was assigned twice, because the clock was set back while the journal was empty.
  Entry renumbered = entry;
  renumbered.dead_letter.id.number = HighestNumber(entry.dead_letter.id.node) + 1;
  Insert(renumbered);
}

bool Database::Exists(const DeadLetterId& id) {
  CachedStatement row = connection_.Prepare("SELECT 1 FROM kept WHERE node = ? AND number = ?");
  return row->Bind(id.node).Bind(id.number).Step();
}

// The incarnation in the WHERE clause prevents a result from being recorded twice.
void Database::UpdateAfterRedrive(const Entry& entry) {
  const DeadLetter& dead_letter = entry.dead_letter;
  const DeadLetterState state = StateAfterRedrive(dead_letter.final_status);
  {
    CachedStatement row = connection_.Prepare(
        "UPDATE kept SET state = ?, rank = ?, reason = ?, attempts = ?, history = ?, last_outcome = ?, "
        "may_have_run = COALESCE(may_have_run, ?), "
        "may_steady = CASE WHEN may_have_run IS NULL THEN ? ELSE may_steady END, "
        "may_boot = CASE WHEN may_have_run IS NULL THEN ? ELSE may_boot END, "
        "may_at = CASE WHEN may_have_run IS NULL THEN ? ELSE may_at END, "
        "resends = resends + 1, life = life + 1, next_at = ?, not_before = ?, by_hand = 0 "
        "WHERE node = ? AND number = ? AND life = ?");
    row->Bind(static_cast<int>(state)).Bind(EvictionRank(state));
    BindAttempts(*row, dead_letter);
    row->Bind(entry.not_before).Bind(entry.not_before);
    row->Bind(dead_letter.id.node).Bind(dead_letter.id.number).Bind(dead_letter.incarnation).Step();
  }
  const bool is_updated = connection_.changed_rows() > 0;
  if (is_updated || state != DeadLetterState::kStored || Exists(dead_letter.id)) return;
  // The database file with the message was lost in the meantime, so the message is stored again as far as it
  // is known.
  Entry restored = entry;
  restored.dead_letter.incarnation += 1;
  restored.dead_letter.redrives = restored.dead_letter.incarnation;
  Insert(restored);
}

void Database::Store(const std::vector<Entry>& entries) {
  SqliteTransaction transaction(connection_);
  for (const Entry& entry : entries) {
    if (entry.redriven) {
      UpdateAfterRedrive(entry);
    } else {
      InsertOnce(entry);
    }
  }
  transaction.Commit();
}

std::int64_t Database::ReadPragma(const std::string& name) {
  CachedStatement row = connection_.Prepare("PRAGMA " + name);
  row->Step();
  return row->Integer(0);
}

std::size_t Database::UsedBytes() {
  const std::int64_t used_pages = ReadPragma("page_count") - ReadPragma("freelist_count");
  return static_cast<std::size_t>(used_pages * ReadPragma("page_size"));
}

Database::Evicted Database::Evict(Time now) {
  const std::string over_age = std::string("WHERE ended_at < ? AND ") + kNotClaimed;
  const std::string lowest_first = std::string("WHERE ") + kNotClaimed + " ORDER BY rank, worth, ended_at";
  const SqlValue oldest = std::int64_t{(now - settings_.max_age).count()};
  Evicted evicted;
  std::map<std::string, std::int64_t> by_class;
  while (const std::int64_t removed = EvictChunk(connection_, over_age, {oldest}, by_class)) {
    evicted.for_age += removed;
  }
  while (UsedBytes() > settings_.budget_bytes) {
    const std::int64_t removed = EvictChunk(connection_, lowest_first, {}, by_class);
    if (removed == 0) break;
    evicted.for_space += removed;
  }
  for (const auto& [name, count] : by_class) evicted.by_class.push_back({name, count});
  if (evicted.total() > 0) connection_.Execute("PRAGMA incremental_vacuum(2000)");
  return evicted;
}

int Database::MarkResubmitted(std::uint64_t identity, std::uint64_t number) {
  static_assert(static_cast<int>(DeadLetterState::kResubmitted) == 5);
  CachedStatement row = connection_.Prepare(
      std::string("UPDATE kept SET state = 5, rank = 0 WHERE identity = ? AND number < ? AND ") + kOpenState);
  row->Bind(identity).Bind(number).Step();
  return connection_.changed_rows();
}

std::vector<std::uint64_t> Database::Identities() {
  std::vector<std::uint64_t> identities;
  CachedStatement rows = connection_.Prepare(
      std::string("SELECT identity FROM kept WHERE identity IS NOT NULL AND ") + kRedrivableState);
  while (rows->Step()) identities.push_back(rows->Unsigned(0));
  return identities;
}

std::uint64_t Database::HighestNumber(const std::string& node) {
  CachedStatement row = connection_.Prepare("SELECT MAX(number) FROM kept WHERE node = ?");
  return row->Bind(node).Step() ? row->Unsigned(0) : 0;
}

}  // namespace sagetally::dead_letter
