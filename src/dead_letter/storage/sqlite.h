// A thin RAII layer over SQLite's C interface: connection, prepared statements and transactions. All failures
// are thrown as StoreError. Used by Database, on one thread at a time.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_SQLITE_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_SQLITE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dead_letter/storage/store_error.h"
#include "time/clock.h"

struct sqlite3;
struct sqlite3_stmt;

namespace sagetally::dead_letter {

using SqlValue = std::variant<std::int64_t, std::string>;

// A prepared statement. Each call of a Bind function binds the next parameter, starting with the first.
class SqliteStatement {
 public:
  SqliteStatement(sqlite3* connection, const std::string& sql);
  ~SqliteStatement();
  SqliteStatement(const SqliteStatement&) = delete;
  SqliteStatement& operator=(const SqliteStatement&) = delete;

  SqliteStatement& Bind(std::int64_t value);
  SqliteStatement& Bind(std::uint64_t value) { return Bind(static_cast<std::int64_t>(value)); }
  SqliteStatement& Bind(int value) { return Bind(std::int64_t{value}); }
  // Binds the time in microseconds.
  SqliteStatement& Bind(Time value) { return Bind(std::int64_t{value.count()}); }
  SqliteStatement& Bind(double value);
  SqliteStatement& Bind(const std::string& value);
  SqliteStatement& BindBlob(const std::string& value);
  SqliteStatement& BindNull();
  SqliteStatement& BindAll(const std::vector<SqlValue>& values);
  // Binds NULL if there is no value.
  template <typename T>
  SqliteStatement& BindOptional(const std::optional<T>& value) {
    return value ? Bind(*value) : BindNull();
  }

  // Advances to the next row. Returns false if there is none.
  bool Step();
  // Restores the state before the first Step and clears all bound values.
  void Reset();

  // Return a column of the current row; columns count from 0.
  std::int64_t Integer(int column) const;
  std::uint64_t Unsigned(int column) const { return static_cast<std::uint64_t>(Integer(column)); }
  Time Microseconds(int column) const { return Time(Integer(column)); }
  double Real(int column) const;
  bool IsNull(int column) const;
  // Returns a text or a blob; an empty string for NULL.
  std::string Bytes(int column) const;

 private:
  SqliteStatement& ThrowIfNotBound(int code);

  sqlite3_stmt* statement_ = nullptr;
  int bound_count_ = 0;
};

// Borrows a statement from the cache of its connection and resets it after use, also when an exception is
// thrown.
class CachedStatement {
 public:
  explicit CachedStatement(SqliteStatement& statement) : statement_(statement) { statement_.Reset(); }
  ~CachedStatement() { statement_.Reset(); }
  CachedStatement(const CachedStatement&) = delete;
  CachedStatement& operator=(const CachedStatement&) = delete;
  SqliteStatement* operator->() { return &statement_; }
  SqliteStatement& operator*() { return statement_; }

 private:
  SqliteStatement& statement_;
};

// An open database file with a cache of prepared statements.
class SqliteConnection {
 public:
  struct Settings {
    std::string path;
    bool read_only = false;
    Duration busy_timeout{0};  // longest wait for another process's lock
  };

  // The file must exist.
  explicit SqliteConnection(const Settings& settings);

  // Runs one or more statements without parameters or results.
  void Execute(const std::string& sql);
  // Returns a statement that is prepared once for each SQL text and cached. Each one may be in use only once
  // at a time.
  CachedStatement Prepare(const std::string& sql);
  // For SQL texts that differ from call to call and would only fill the cache.
  SqliteStatement PrepareUncached(const std::string& sql) const;
  // Returns how many rows the last INSERT, UPDATE or DELETE changed.
  int changed_rows() const;

 private:
  friend class SqliteTransaction;
  struct Close {
    void operator()(sqlite3* connection) const;
  };
  [[noreturn]] void ThrowLastError(const std::string& operation) const;

  std::unique_ptr<sqlite3, Close> connection_;
  std::map<std::string, std::unique_ptr<SqliteStatement>> statements_;
};

// A write transaction. The destructor rolls it back unless Commit() has succeeded. Cached statements should
// be returned to the cache before Commit(), so that none keeps a read snapshot open.
class SqliteTransaction {
 public:
  explicit SqliteTransaction(SqliteConnection& connection);
  ~SqliteTransaction();
  SqliteTransaction(const SqliteTransaction&) = delete;
  SqliteTransaction& operator=(const SqliteTransaction&) = delete;
  void Commit();

 private:
  SqliteConnection& connection_;
  bool committed_ = false;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_SQLITE_H_
