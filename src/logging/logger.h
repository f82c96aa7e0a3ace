// The structured log. It writes one line for each event, with the name of the event and its fields, as text
// or as JSON. The program's main function owns it, and it is used on the event loop's thread.
#ifndef SAGETALLY_SRC_LOGGING_LOGGER_H_
#define SAGETALLY_SRC_LOGGING_LOGGER_H_

#include <spdlog/logger.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace sagetally {

// The format of a line.
enum class LogFormat { kText, kJson };
// The severity of an event, in ascending order.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One field of an event. Its name is a lower-case word.
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

// The options of a log.
struct LogOptions {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;  // events below this level are not written
  int burst = 20;                    // maximum number of lines per event in one second
};

// Writes events to one sink and limits the rate of each event separately, except at the level "debug", at
// which every event is written so that one id can be followed. The first line of an event after some were
// suppressed gives their number in the field `left_out`. Not thread-safe: other threads must pass their
// events to the event loop's thread.
class Logger {
 public:
  // Writes to standard output, and flushes after each line.
  explicit Logger(LogOptions options = LogOptions());
  // Writes to `sink`.
  Logger(LogOptions options, spdlog::sink_ptr sink);

  // Returns whether lines of this level are written. Check this before computing expensive fields.
  bool IsEnabled(LogLevel level) const { return level >= options_.level; }
  // Writes one line, unless the level or the rate limit suppresses it. The name of an event consists of
  // lower-case words joined by dots, such as "watch.lost".
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
  // Counts the lines of one event within one second.
  struct RateWindow {
    std::chrono::steady_clock::time_point begin{};
    int written_lines = 0;
    std::int64_t suppressed_lines = 0;  // since the last line that was written
  };

  RateWindow& FindWindow(std::string_view event);
  // Returns whether the event may write a line now, and counts the line as written or suppressed.
  bool AdmitLine(RateWindow& window) const;
  std::string FormatEvent(std::string_view event) const;
  void AppendField(const std::string& name, const LogField::Value& value, std::string& line) const;

  const LogOptions options_;
  spdlog::logger logger_;
  std::map<std::string, RateWindow, std::less<>> windows_;  // by event name
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_LOGGING_LOGGER_H_
