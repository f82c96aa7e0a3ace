// The structured log: one line an event, with the event's name and its fields, as text or as JSON lines.
#ifndef SAGETALLY_SRC_LOGGING_LOGGER_H_
#define SAGETALLY_SRC_LOGGING_LOGGER_H_

#include <spdlog/logger.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace sagetally {

enum class LogFormat { kText, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogField {
  using Value = std::variant<bool, std::int64_t, double, std::string>;
  template <std::integral T>
  LogField(std::string name, T value) : name(std::move(name)) {
    if constexpr (std::same_as<T, bool>) {
      this->value = value;
    } else {
      this->value = static_cast<std::int64_t>(value);
    }
  }
  LogField(std::string name, double value) : name(std::move(name)), value(value) {}
  LogField(std::string name, std::string value) : name(std::move(name)), value(std::move(value)) {}
  LogField(std::string name, const char* value) : name(std::move(name)), value(std::string(value)) {}
  std::string name;
  Value value;
};

struct LogOptions {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  int burst = 20;  // lines of one event in a second; the next line says how many were left out
};

// Not safe across threads: other threads hand what they have to say to the loop.
class Logger {
 public:
  // To standard output, flushed line by line.
  explicit Logger(LogOptions options = LogOptions());
  Logger(LogOptions options, spdlog::sink_ptr sink);

  // Names are lower-case words joined by dots, such as "watch.lost".
  void Write(LogLevel level, std::string_view event, const std::vector<LogField>& fields = {});
  void Info(std::string_view event, const std::vector<LogField>& fields = {}) {
    Write(LogLevel::kInfo, event, fields);
  }
  void Warn(std::string_view event, const std::vector<LogField>& fields = {}) {
    Write(LogLevel::kWarning, event, fields);
  }
  void Error(std::string_view event, const std::vector<LogField>& fields = {}) {
    Write(LogLevel::kError, event, fields);
  }

 private:
  struct Window {
    std::chrono::steady_clock::time_point since{};
    int written = 0;
    std::int64_t left_out = 0;
  };
  const LogOptions options_;
  spdlog::logger logger_;
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_LOGGING_LOGGER_H_
