// Errors of the journal. All are std::runtime_error, whose text names the file or folder at fault and is
// printed to operators; the fields are for callers that decide by them.
#ifndef SAGETALLY_SRC_JOURNAL_ERRORS_H_
#define SAGETALLY_SRC_JOURNAL_ERRORS_H_

#include <cstdint>
#include <stdexcept>
#include <string>

namespace sagetally {

class JournalError : public std::runtime_error {
 public:
  // `path`: the file or folder at fault; empty if the caller knows it.
  JournalError(const std::string& path, const std::string& problem)
      : std::runtime_error(path.empty() ? problem : path + ": " + problem), path_(path), problem_(problem) {}
  const std::string& path() const { return path_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string path_;
  std::string problem_;
};

// A call of the file system failed.
class JournalIoError : public JournalError {
 public:
  JournalIoError(const std::string& path, int error);
  int error() const { return error_; }  // an errno number

 private:
  int error_;
};

// A running process has the journal.
class JournalLockedError : public JournalError {
 public:
  using JournalError::JournalError;
};

// Written by a later version of this program.
class UnsupportedFormatError : public JournalError {
 public:
  UnsupportedFormatError(const std::string& path, std::uint32_t format);
  std::uint32_t format() const { return format_; }

 private:
  std::uint32_t format_;
};

// There is no journal where one is expected, or not all of it.
class JournalMissingError : public JournalError {
 public:
  using JournalError::JournalError;
};

// There is a journal where none may be.
class JournalExistsError : public JournalError {
 public:
  using JournalError::JournalError;
};

// A journal is damaged and the caller did not allow that.
class JournalDamagedError : public JournalError {
 public:
  using JournalError::JournalError;
};

// Throws JournalIoError unless `error` is 0.
void ThrowOnError(const std::string& path, int error);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_ERRORS_H_
