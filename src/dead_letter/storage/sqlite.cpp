#include "dead_letter/storage/sqlite.h"

#include <sqlite3.h>

namespace sagetally::dead_letter {
namespace {

constexpr int kPrimaryCodeMask = 0xff;  // an extended result code holds the primary one in its low byte

StoreError::Kind KindOf(int code) {
  if (code == SQLITE_IOERR_SHORT_READ) return StoreError::Kind::kDamaged;  // the file was truncated
  switch (code & kPrimaryCodeMask) {
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StoreError::Kind::kBusy;
    case SQLITE_FULL:
      return StoreError::Kind::kFull;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return StoreError::Kind::kDamaged;
    default:
      return StoreError::Kind::kOther;
  }
}

}  // namespace

SqliteStatement::SqliteStatement(sqlite3* connection, const std::string& sql) {
  if (sqlite3_prepare_v2(connection, sql.c_str(), -1, &statement_, nullptr) == SQLITE_OK) return;
  const int code = sqlite3_extended_errcode(connection);
  throw StoreError(KindOf(code), "prepare", sqlite3_errmsg(connection), code);
}

SqliteStatement::~SqliteStatement() { sqlite3_finalize(statement_); }

SqliteStatement& SqliteStatement::ThrowIfNotBound(int code) {
  if (code != SQLITE_OK) throw StoreError(KindOf(code), "bind", "", code);
  return *this;
}

SqliteStatement& SqliteStatement::Bind(std::int64_t value) {
  return ThrowIfNotBound(sqlite3_bind_int64(statement_, ++bound_count_, value));
}

SqliteStatement& SqliteStatement::Bind(double value) {
  return ThrowIfNotBound(sqlite3_bind_double(statement_, ++bound_count_, value));
}

SqliteStatement& SqliteStatement::Bind(const std::string& value) {
  const int size = static_cast<int>(value.size());
  return ThrowIfNotBound(sqlite3_bind_text(statement_, ++bound_count_, value.data(), size, SQLITE_TRANSIENT));
}

SqliteStatement& SqliteStatement::BindBlob(const std::string& value) {
  const int size = static_cast<int>(value.size());
  return ThrowIfNotBound(sqlite3_bind_blob(statement_, ++bound_count_, value.data(), size, SQLITE_TRANSIENT));
}

SqliteStatement& SqliteStatement::BindNull() {
  return ThrowIfNotBound(sqlite3_bind_null(statement_, ++bound_count_));
}

SqliteStatement& SqliteStatement::BindAll(const std::vector<SqlValue>& values) {
  for (const SqlValue& value : values) {
    std::visit([this](const auto& alternative) { Bind(alternative); }, value);
  }
  return *this;
}

bool SqliteStatement::Step() {
  const int code = sqlite3_step(statement_);
  if (code == SQLITE_ROW) return true;
  if (code == SQLITE_DONE) return false;
  const std::string reason = sqlite3_errmsg(sqlite3_db_handle(statement_));
  Reset();
  throw StoreError(KindOf(code), "step", reason, code);
}

void SqliteStatement::Reset() {
  sqlite3_reset(statement_);
  sqlite3_clear_bindings(statement_);
  bound_count_ = 0;
}

std::int64_t SqliteStatement::Integer(int column) const { return sqlite3_column_int64(statement_, column); }

double SqliteStatement::Real(int column) const { return sqlite3_column_double(statement_, column); }

bool SqliteStatement::IsNull(int column) const {
  return sqlite3_column_type(statement_, column) == SQLITE_NULL;
}

std::string SqliteStatement::Bytes(int column) const {
  const auto* data = static_cast<const char*>(sqlite3_column_blob(statement_, column));
  if (data == nullptr) return "";
  return std::string(data, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
}

void SqliteConnection::Close::operator()(sqlite3* connection) const { sqlite3_close_v2(connection); }

SqliteConnection::SqliteConnection(const Settings& settings) {
  sqlite3* opened = nullptr;
  const int access = settings.read_only ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE;
  const int code = sqlite3_open_v2(settings.path.c_str(), &opened, access | SQLITE_OPEN_NOMUTEX, nullptr);
  connection_.reset(opened);
  if (code != SQLITE_OK) ThrowLastError("open " + settings.path);
  sqlite3_extended_result_codes(connection_.get(), 1);
  sqlite3_busy_timeout(connection_.get(), static_cast<int>(settings.busy_timeout.count() / 1000));
}

void SqliteConnection::ThrowLastError(const std::string& operation) const {
  if (!connection_) throw StoreError(KindOf(SQLITE_CANTOPEN), operation, "can't open", SQLITE_CANTOPEN);
  const int code = sqlite3_extended_errcode(connection_.get());
  throw StoreError(KindOf(code), operation, sqlite3_errmsg(connection_.get()), code);
}

void SqliteConnection::Execute(const std::string& sql) {
  const int code = sqlite3_exec(connection_.get(), sql.c_str(), nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) ThrowLastError("statement");
}

CachedStatement SqliteConnection::Prepare(const std::string& sql) {
  std::unique_ptr<SqliteStatement>& statement = statements_[sql];
  if (!statement) statement = std::make_unique<SqliteStatement>(connection_.get(), sql);
  return CachedStatement(*statement);
}

SqliteStatement SqliteConnection::PrepareUncached(const std::string& sql) const {
  return SqliteStatement(connection_.get(), sql);
}

int SqliteConnection::changed_rows() const { return sqlite3_changes(connection_.get()); }

SqliteTransaction::SqliteTransaction(SqliteConnection& connection) : connection_(connection) {
  connection_.Execute("BEGIN IMMEDIATE");
}

SqliteTransaction::~SqliteTransaction() {
  if (committed_) return;
  // An error is ignored, because SQLite has then already rolled back.
  sqlite3_exec(connection_.connection_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
}

void SqliteTransaction::Commit() {
  connection_.Execute("COMMIT");
  committed_ = true;
}

}  // namespace sagetally::dead_letter
