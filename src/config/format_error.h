// Errors in text that comes from outside the process: configuration, operators' files, JSON from other
// processes. Each error has a message for people, and its details in separate fields. Thrown by the readers
// of such text, on any thread.
#ifndef SAGETALLY_SRC_CONFIG_FORMAT_ERROR_H_
#define SAGETALLY_SRC_CONFIG_FORMAT_ERROR_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace sagetally {

// Describes the fault in a text. A field that the reader of the text can't fill in is empty.
struct FormatFault {
  std::string key = {};       // a field name, a JSON pointer or an environment variable
  std::string expected = {};  // the values or the type that would be valid
  std::string found = {};     // the invalid value or its type
};

// Thrown if a text is not in the format that its reader expects.
class FormatError : public std::runtime_error {
 public:
  explicit FormatError(const std::string& message, FormatFault fault = FormatFault())
      : std::runtime_error(message), fault_(std::move(fault)) {}

  // Returns an error whose message is built from its fields: "KEY: expected EXPECTED, found FOUND".
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

// Thrown if a configuration file can't be used.
class ConfigError : public FormatError {
 public:
  ConfigError(const std::string& message, std::string file, FormatFault fault = FormatFault())
      : FormatError(message, std::move(fault)), file_(std::move(file)) {}

  // The path of the file. Empty if BALANCER_CONFIG, which names the file, is not set.
  const std::string& file() const { return file_; }

 private:
  std::string file_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_FORMAT_ERROR_H_
