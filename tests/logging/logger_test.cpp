// Tests the text and JSON formats of the log, and the rate limit of each event.
#undef NDEBUG
#include "logging/logger.h"

#include <spdlog/sinks/ostream_sink.h>

#include <cassert>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace sagetally {
namespace {

void LinesContainTheEventAndItsFields() {
  std::ostringstream out;
  const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(out);
  Logger text_log(LogOptions{}, sink);
  text_log.Info("a.b", {{"n", 7}, {"on", true}, {"plain", "x-1:2"}, {"spaced", "a \"b\"\n"}});
  assert(out.str().find(R"( info a.b n=7 on=true plain=x-1:2 spaced="a \"b\"\n")") != std::string::npos);
  out.str("");
  Logger json_log(LogOptions{LogFormat::kJson, LogLevel::kWarning, 20}, sink);
  json_log.Info("quiet");
  json_log.Warn("bad", {{"bytes", std::string("\xff\x01")}, {"share", 0.5}});
  const auto line = nlohmann::json::parse(out.str());
  assert(line["event"] == "bad" && line["level"] == "warning" && line["share"] == 0.5 &&
         line["bytes"].is_string());
}

// Guards against a log in which an id can't be found as its client wrote it.
void UnusualTextIsLoggedUnchanged() {
  const std::string texts[] = {
      "pedido-\xc3\xa4\xc3\x9f", "\xf0\x9f\x98\x80", "q\"uote", "back\\slash", "a\tb", "line\nbreak",
      std::string(512, 'x')};
  for (const std::string& text : texts) {
    std::ostringstream out;
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(out);
    Logger(LogOptions{LogFormat::kJson, LogLevel::kInfo, 20}, sink).Info("a.b", {{"id", text}});
    assert(nlohmann::json::parse(out.str())["id"] == text);
    out.str("");
    Logger(LogOptions{}, sink).Info("a.b", {{"id", text}});
    const std::string line = out.str();
    const std::string value = line.substr(line.find("id=") + 3, line.size() - line.find("id=") - 4);
    assert(value == text || nlohmann::json::parse(value) == text);
  }
}

void RateLimitAppliesToEachEventSeparately() {
  std::ostringstream out;
  Logger log(LogOptions{LogFormat::kText, LogLevel::kInfo, 3},
             std::make_shared<spdlog::sinks::ostream_sink_st>(out));
  for (int i = 0; i < 100; ++i) log.Info("often");
  log.Info("seldom");
  const std::string text = out.str();
  assert(std::count(text.begin(), text.end(), '\n') == 4 && text.find("seldom") != text.npos);
}

}  // namespace
}  // namespace sagetally

int main() {
  sagetally::LinesContainTheEventAndItsFields();
  sagetally::UnusualTextIsLoggedUnchanged();
  sagetally::RateLimitAppliesToEachEventSeparately();
  std::puts("3 passed, 0 failed");
}
