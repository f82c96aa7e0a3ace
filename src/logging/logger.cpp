#include "logging/logger.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace sagetally {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kRateWindow{1};

// Replaces bytes that are not valid UTF-8, as data from a peer must not terminate the process by an
// exception.
std::string Dump(const Json& value) { return value.dump(-1, ' ', false, Json::error_handler_t::replace); }

Json ToJson(const LogField::Value& value) {
  return std::visit([](const auto& content) { return Json(content); }, value);
}

// A string of plain characters is written unchanged, every other value as JSON.
std::string ToText(const LogField::Value& value) {
  static constexpr char kPlainCharacters[] =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
      "-_.:/";
  const auto* text = std::get_if<std::string>(&value);
  const bool is_plain =
      text != nullptr && !text->empty() && text->find_first_not_of(kPlainCharacters) == std::string::npos;
  return is_plain ? *text : Dump(ToJson(value));
}

std::unique_ptr<spdlog::formatter> MakeFormatter(LogFormat format) {
  return std::make_unique<spdlog::pattern_formatter>(
      format == LogFormat::kJson ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                 : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
      spdlog::pattern_time_type::utc);
}

spdlog::level::level_enum ToSpdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      break;
  }
  return spdlog::level::err;
}

}  // namespace

Logger::Logger(LogOptions options) : Logger(options, std::make_shared<spdlog::sinks::stdout_sink_st>()) {}

Logger::Logger(LogOptions options, spdlog::sink_ptr sink)
    : options_(options), logger_("sagetally", std::move(sink)) {
  logger_.set_formatter(MakeFormatter(options.format));
  logger_.set_level(ToSpdlogLevel(options.level));
  logger_.flush_on(spdlog::level::trace);
}

Logger::RateWindow& Logger::FindWindow(std::string_view event) {
  const auto found = windows_.find(event);
  if (found != windows_.end()) return found->second;
  return windows_.emplace(std::string(event), RateWindow()).first->second;
}

bool Logger::AdmitLine(RateWindow& window) const {
  const auto now = std::chrono::steady_clock::now();
  if (now - window.begin >= kRateWindow) {
    window.begin = now;
    window.written_lines = 0;
  }
  if (window.written_lines >= options_.burst) {
    ++window.suppressed_lines;
    return false;
  }
  ++window.written_lines;
  return true;
}

std::string Logger::FormatEvent(std::string_view event) const {
  return options_.format == LogFormat::kJson ? "\"event\":" + Dump(Json(event)) : std::string(event);
}

void Logger::AppendField(const std::string& name, const LogField::Value& value, std::string& line) const {
  if (options_.format == LogFormat::kJson) {
    line += ",\"" + name + "\":" + Dump(ToJson(value));
  } else {
    line += " " + name + "=" + ToText(value);
  }
}

void Logger::Write(LogLevel level, std::string_view event, const std::vector<LogField>& fields) {
  if (level < options_.level) return;
  RateWindow& window = FindWindow(event);
  if (options_.level > LogLevel::kDebug && !AdmitLine(window)) return;
  std::string line = FormatEvent(event);
  for (const LogField& field : fields) AppendField(field.name, field.value, line);
  const std::int64_t suppressed_lines = std::exchange(window.suppressed_lines, 0);
  if (suppressed_lines > 0) AppendField("left_out", suppressed_lines, line);
  logger_.log(ToSpdlogLevel(level), spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace sagetally
