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
  sagetally::RateLimitAppliesToEachEventSeparately();
  std::puts("2 passed, 0 failed");
}
