#include "loadtest/load/scenario.h"

#include <fstream>
#include <stdexcept>

#include "loadtest/load/distribution.h"
#include "loadtest/schemas.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

// What the schema can't say names its place all the same.
template <typename F>
auto Place(const std::string& pointer, F read) {
  try {
    return read();
  } catch (const std::exception& error) {
    throw std::runtime_error(pointer + ": " + error.what());
  }
}

Repeat RepeatFrom(const std::string& text) {
  return text == "never" ? Repeat::kNever : text == "keyed" ? Repeat::kKeyed : Repeat::kFree;
}

}  // namespace

const char* Name(Repeat repeat) {
  return repeat == Repeat::kNever ? "never" : repeat == Repeat::kKeyed ? "keyed" : "free";
}

Json ScenarioSchema() { return Json::parse(kScenarioSchema); }

Scenario ScenarioFromJson(const Json& json) {
  Validate(ScenarioSchema(), json);
  Scenario s;
  s.seed = json.value("seed", s.seed);
  s.seconds = json.value("seconds", s.seconds);
  s.drain_s = json.value("drain_s", s.drain_s);
  for (const Json& target : json.at("targets")) {
    s.targets.push_back(
        Place("/targets", [&] { return ParseAddress(target.get_ref<const std::string&>(), "a target"); }));
  }
  s.front = json.value("front", std::string("platform")) == "events" ? Front::kEvents : Front::kPlatform;
  const std::string mode = json.value("mode", std::string("binary"));
  s.mode = mode == "batched"      ? EventMode::kBatched
           : mode == "structured" ? EventMode::kStructured
                                  : EventMode::kBinary;
  s.batch = json.value("batch", s.batch);
  s.batch_wait_ms = json.value("batch_wait_ms", s.batch_wait_ms);
  s.threads = json.value("threads", s.threads);
  s.connections = json.value("connections", s.connections);
  s.backlog = json.value("backlog", s.backlog);
  s.max_messages = json.value("max_messages", s.max_messages);
  s.answer_ms = json.value("answer_ms", s.answer_ms);
  s.hand_ins_again = json.value("hand_ins_again", s.hand_ins_again);
  s.again_ms = json.value("again_ms", s.again_ms);
  s.arrivals = json.value("arrivals", Json::object());
  for (const Json& c : json.value("classes", Json::array({{{"name", "aviso"}}}))) {
    ClassMix mix;
    mix.name = c.at("name").get<std::string>();
    mix.weight = c.value("weight", mix.weight);
    mix.deadline_ms = c.value("deadline_ms", mix.deadline_ms);
    mix.aim_ms = c.value("aim_ms", mix.aim_ms);
    mix.repeat = RepeatFrom(c.value("repeat", std::string("free")));
    s.classes.push_back(mix);
  }
  const Json destinations = json.value("destinations", Json::object());
  s.first_destination = destinations.value("first", 0);
  s.destinations = destinations.value("count", 1);
  s.zipf = destinations.value("zipf", 0.0);
  s.body_bytes = json.value("body_bytes", Json{{"kind", "constant"}, {"value", 200}});
  Place("/body_bytes", [&] { return Distribution::FromJson(s.body_bytes).Mean(); });
  const Json callers = json.value("callers", Json::object());
  s.callers = callers.value("count", 1);
  if (callers.contains("hot")) {
    const Json& hot = callers["hot"];
    s.hot =
        HotCaller{hot.at("share"), hot.value("from_s", 0.0), hot.at("for_s"), hot.value("destinations", 1)};
  }
  if (json.contains("clumps")) {
    const Json& c = json["clumps"];
    Clumps clumps;
    clumps.every_s = c.value("every_s", clumps.every_s);
    clumps.worth_least_s = c.value("worth_least_s", clumps.worth_least_s);
    clumps.worth_most_s = c.value("worth_most_s", clumps.worth_most_s);
    clumps.partner_rate = c.value("partner_rate", clumps.partner_rate);
    clumps.over_ms = c.value("over_ms", clumps.over_ms);
    if (clumps.worth_most_s < clumps.worth_least_s)
      throw std::runtime_error("/clumps/worth_most_s: expected at least worth_least_s");
    s.clumps = clumps;
  }
  s.trace = json.value("trace", std::string(""));
  if (json.contains("valid")) {
    s.valid.lag_ms = json["valid"].value("lag_ms", s.valid.lag_ms);
    s.valid.share = json["valid"].value("share", s.valid.share);
    s.valid.run_queue_share = json["valid"].value("run_queue_share", s.valid.run_queue_share);
  }
  return s;
}

Json ReadJsonFile(const std::string& path) {
  if (path.empty()) return Json::object();
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  try {
    return Json::parse(file);
  } catch (const Json::parse_error& error) {
    throw std::runtime_error(path + ": no JSON: " + error.what());
  }
}

Scenario ReadScenario(const std::string& path, const Overrides& overrides) {
  Json json = ReadJsonFile(path);
  try {
    ApplyOverrides(ScenarioSchema(), json, overrides);
    return ScenarioFromJson(json);
  } catch (const std::exception& error) {
    throw std::runtime_error((path.empty() ? "scenario" : path) + ": " + error.what());
  }
}

}  // namespace sagetally::loadtest
