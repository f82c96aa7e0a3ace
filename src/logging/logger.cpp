#include "logging/logger.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace sagetally {
namespace {

using Json = nlohmann::json;

// Bytes that are no UTF-8 are replaced: a peer's nonsense must not end the process.
std::string Dump(const Json& value) { return value.dump(-1, ' ', false, Json::error_handler_t::replace); }

Json ToJson(const LogField::Value& value) {
  return std::visit([](const auto& v) { return Json(v); }, value);
}

std::string AsText(const LogField::Value& value) {
  const auto* text = std::get_if<std::string>(&value);
  const bool plain = text != nullptr && !text->empty() &&
                     text->find_first_not_of(
                         "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
                         "-_.:/") == std::string::npos;
  return plain ? *text : Dump(ToJson(value));
}

std::unique_ptr<spdlog::formatter> Pattern(LogFormat format) {
  return std::make_unique<spdlog::pattern_formatter>(
      format == LogFormat::kJson ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                                 : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
      spdlog::pattern_time_type::utc);
}

spdlog::level::level_enum SpdLevel(LogLevel level) {
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
  logger_.set_formatter(Pattern(options.format));
  logger_.set_level(SpdLevel(options.level));
  logger_.flush_on(spdlog::level::trace);
}

void Logger::Write(LogLevel level, std::string_view event, const std::vector<LogField>& fields) {
  if (level < options_.level) return;
  auto at = windows_.find(event);
  if (at == windows_.end()) at = windows_.emplace(std::string(event), Window()).first;
  Window& window = at->second;
  const auto now = std::chrono::steady_clock::now();
  if (now - window.since >= std::chrono::seconds(1)) window.since = now, window.written = 0;
  if (window.written >= options_.burst) {
    ++window.left_out;
    return;
  }
  ++window.written;
  const bool as_json = options_.format == LogFormat::kJson;
  std::string line = as_json ? "\"event\":" + Dump(Json(event)) : std::string(event);
  const auto add = [&](const std::string& name, const LogField::Value& value) {
    line += as_json ? ",\"" : " ";
    line += name;  // a word of ours
    line += as_json ? "\":" : "=";
    line += as_json ? Dump(ToJson(value)) : AsText(value);
  };
  for (const LogField& field : fields) add(field.name, field.value);
  if (const std::int64_t left_out = std::exchange(window.left_out, 0); left_out > 0) {
    add("left_out", left_out);
  }
  logger_.log(SpdLevel(level), spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace sagetally
