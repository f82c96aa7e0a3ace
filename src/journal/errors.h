// The exceptions that the journal throws. All derive from std::runtime_error. Their text names the file or
// folder at fault and is shown to operators; their fields are for callers that choose what to do next. Thrown
// by the journal, by its snapshots and by its replay, and caught in src/app and src/cli.
#ifndef SAGETALLY_SRC_JOURNAL_ERRORS_H_
#define SAGETALLY_SRC_JOURNAL_ERRORS_H_

#include <cstdint>
#include <stdexcept>
#include <string>

namespace sagetally {

// The common base of the journal's errors.
class JournalError : public std::runtime_error {
 public:
  // `path` is the file or folder at fault. It is empty if the caller knows the path and adds it. `problem`
  // describes what is wrong with it.
  JournalError(const std::string& path, const std::string& problem)
      : std::runtime_error(path.empty() ? problem : path + ": " + problem), path_(path), problem_(problem) {}
  const std::string& path() const { return path_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string path_;
  std::string problem_;
};

// A file system call failed.
class JournalIoError : public JournalError {
 public:
  JournalIoError(const std::string& path, int error);
  // The errno value of the failed call.
  int error() const { return error_; }

 private:
  int error_;
};

// Another running process has locked the journal.
class JournalLockedError : public JournalError {
 public:
  using JournalError::JournalError;
};

// The journal was written by a later version of this program, in a format that this one can't read.
class UnsupportedFormatError : public JournalError {
 public:
  UnsupportedFormatError(const std::string& path, std::uint32_t format);
  // The format number that was found.
  std::uint32_t format() const { return format_; }

 private:
  std::uint32_t format_;
};

// A folder that should contain a journal has none, or lacks one of its segments.
class JournalMissingError : public JournalError {
 public:
  using JournalError::JournalError;
};

// A folder that must not contain a journal has one already.
class JournalExistsError : public JournalError {
 public:
  using JournalError::JournalError;
};

// A journal is damaged, and the caller did not allow damaged journals.
class JournalDamagedError : public JournalError {
 public:
  using JournalError::JournalError;
};

// Throws JournalIoError for `path` if `error`, an errno value, is not 0.
void ThrowOnError(const std::string& path, int error);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_ERRORS_H_
