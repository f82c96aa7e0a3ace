// The error that every operation on the dead-letter store throws.
#ifndef SAGETALLY_SRC_DEAD_LETTER_STORAGE_STORE_ERROR_H_
#define SAGETALLY_SRC_DEAD_LETTER_STORAGE_STORE_ERROR_H_

#include <stdexcept>
#include <string>

namespace sagetally::dead_letter {

// Thrown when an operation on the store fails.
struct StoreError : std::runtime_error {
  enum class Kind {
    kBusy,         // another process holds the lock; a later attempt may succeed
    kFull,         // the file has reached its limit, or the disk is full
    kDamaged,      // the file is corrupt, truncated or not a database
    kNewerSchema,  // written by a later version of the program
    kOther
  };

  // `operation` is the operation that failed and `reason` says why. `sqlite_code` is SQLite's extended result
  // code, or 0 if the error does not come from SQLite.
  StoreError(Kind kind, const std::string& operation, const std::string& reason, int sqlite_code = 0)
      : std::runtime_error(reason.empty() ? operation : operation + ": " + reason),
        kind(kind),
        operation(operation),
        sqlite_code(sqlite_code) {}

  Kind kind;
  std::string operation;
  int sqlite_code;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_STORAGE_STORE_ERROR_H_
