// The log: text and JSON forms, and the limit by event.
#undef NDEBUG
#include "logging/logger.h"

#include <spdlog/sinks/ostream_sink.h>

#include <cassert>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace sagetally {
namespace {

void LinesHoldNameAndFields() {
  std::ostringstream out;
  const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(out);
  Logger text(LogOptions{}, sink);
  text.Info("a.b", {{"n", 7}, {"on", true}, {"plain", "x-1:2"}, {"spaced", "a \"b\"\n"}});
  assert(out.str().find(R"( info a.b n=7 on=true plain=x-1:2 spaced="a \"b\"\n")") != std::string::npos);
  out.str("");
  Logger json(LogOptions{LogFormat::kJson, LogLevel::kWarning, 20}, sink);
  json.Info("quiet");
  json.Warn("bad", {{"bytes", std::string("\xff\x01")}, {"share", 0.5}});
  const auto line = nlohmann::json::parse(out.str());
  assert(line["event"] == "bad" && line["level"] == "warning" && line["share"] == 0.5 &&
         line["bytes"].is_string());
}

void OneEventDoesNotFloodTheOthers() {
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
  sagetally::LinesHoldNameAndFields();
  sagetally::OneEventDoesNotFloodTheOthers();
  std::puts("2 passed, 0 failed");
}
