// Errors in text that is read from outside: configuration, operators' files, JSON from other processes. Each
// has its message for people, and what it is about in fields.
#ifndef SAGETALLY_SRC_CONFIG_FORMAT_ERROR_H_
#define SAGETALLY_SRC_CONFIG_FORMAT_ERROR_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace sagetally {

// Where a text is wrong. A field is empty where its reader doesn't know it.
struct FormatFault {
  std::string key = {};       // as the format names it: a field, a JSON pointer or a variable
  std::string expected = {};  // what should stand there
  std::string found = {};     // what stands there
};

// A text is not in the form that its reader expects.
class FormatError : public std::runtime_error {
 public:
  explicit FormatError(const std::string& message, FormatFault fault = FormatFault())
      : std::runtime_error(message), fault_(std::move(fault)) {}

  // An error whose message is made from its fields: "KEY: expected EXPECTED, found FOUND".
  static FormatError Unexpected(FormatFault fault) {
    const std::string message = fault.key + ": expected " + fault.expected + ", found " + fault.found;
    return FormatError(message, std::move(fault));
  }

  const std::string& key() const { return fault_.key; }
  const std::string& expected() const { return fault_.expected; }
  const std::string& found() const { return fault_.found; }
  const FormatFault& fault() const { return fault_; }

 private:
  FormatFault fault_;
};

// A configuration file can't be used.
class ConfigError : public FormatError {
 public:
  ConfigError(const std::string& message, std::string file, FormatFault fault = FormatFault())
      : FormatError(message, std::move(fault)), file_(std::move(file)) {}

  // The path of the file; empty if it is not known which one to read.
  const std::string& file() const { return file_; }

 private:
  std::string file_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_FORMAT_ERROR_H_
