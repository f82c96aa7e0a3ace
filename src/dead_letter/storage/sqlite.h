// A thin RAII layer over SQLite's C interface: connection, prepared statements and transactions. All failures
// are thrown as StoreError. For one thread at a time.
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

// A prepared statement. Values are bound to its parameters in order, from the first on.
class SqliteStatement {
 public:
  SqliteStatement(sqlite3* connection, const std::string& sql);
  ~SqliteStatement();
  SqliteStatement(const SqliteStatement&) = delete;
  SqliteStatement& operator=(const SqliteStatement&) = delete;

  SqliteStatement& Bind(std::int64_t value);
  SqliteStatement& Bind(std::uint64_t value) { return Bind(static_cast<std::int64_t>(value)); }
  SqliteStatement& Bind(int value) { return Bind(std::int64_t{value}); }
  // In microseconds.
  SqliteStatement& Bind(Time value) { return Bind(std::int64_t{value.count()}); }
  SqliteStatement& Bind(double value);
  SqliteStatement& Bind(const std::string& value);
  SqliteStatement& BindBlob(const std::string& value);
  SqliteStatement& BindNull();
  SqliteStatement& BindAll(const std::vector<SqlValue>& values);
  // NULL if there is no value.
  template <typename T>
  SqliteStatement& BindOptional(const std::optional<T>& value) {
    return value ? Bind(*value) : BindNull();
  }

  // Runs to the next row; false if there is none.
  bool Step();
  // Back to the state before the first Step, without any bound value.
  void Reset();

  // Of the present row; columns count from 0.
  std::int64_t Integer(int column) const;
  std::uint64_t Unsigned(int column) const { return static_cast<std::uint64_t>(Integer(column)); }
  Time Microseconds(int column) const { return Time(Integer(column)); }
  double Real(int column) const;
  bool IsNull(int column) const;
  // A text or a blob; NULL is empty.
  std::string Bytes(int column) const;

 private:
  SqliteStatement& ThrowIfNotBound(int code);

  sqlite3_stmt* statement_ = nullptr;
  int bound_count_ = 0;
};

// Borrows a statement from the cache of its connection and resets it after use, also when an exception
// passes.
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
  // A statement that is prepared once for each text. One of each may be in use at a time.
  CachedStatement Prepare(const std::string& sql);
  // For texts that differ from call to call, which would only fill the cache.
  SqliteStatement PrepareUncached(const std::string& sql) const;
  // How many rows the last INSERT, UPDATE or DELETE changed.
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

// A write transaction, rolled back unless Commit() was reached. Cached statements should be back in the cache
// before Commit(), so that none holds on to a read snapshot.
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
