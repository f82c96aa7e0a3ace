#include "lab/load/scenario.h"

#include <fstream>
#include <stdexcept>

#include "lab/load/distribution.h"
#include "lab/schemas.h"

namespace sagetally::lab {
namespace {

using Json = nlohmann::json;

template <typename T>
T At(const Json& json, const char* key, T otherwise) {
  return json.value(key, otherwise);
}

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
  s.seed = At(json, "seed", s.seed);
  s.seconds = At(json, "seconds", s.seconds);
  s.drain_s = At(json, "drain_s", s.drain_s);
  for (const Json& target : json.at("targets")) {
    s.targets.push_back(
        Place("/targets", [&] { return ParseAddress(target.get_ref<const std::string&>(), "a target"); }));
  }
  s.front = At<std::string>(json, "front", "platform") == "events" ? Front::kEvents : Front::kPlatform;
  const std::string mode = At<std::string>(json, "mode", "binary");
  s.mode = mode == "batched"      ? EventMode::kBatched
           : mode == "structured" ? EventMode::kStructured
                                  : EventMode::kBinary;
  s.batch = At(json, "batch", s.batch);
  s.batch_wait_ms = At(json, "batch_wait_ms", s.batch_wait_ms);
  s.threads = At(json, "threads", s.threads);
  s.connections = At(json, "connections", s.connections);
  s.backlog = At(json, "backlog", s.backlog);
  s.max_messages = At(json, "max_messages", s.max_messages);
  s.answer_ms = At(json, "answer_ms", s.answer_ms);
  s.hand_ins_again = At(json, "hand_ins_again", s.hand_ins_again);
  s.again_ms = At(json, "again_ms", s.again_ms);
  s.arrivals = At(json, "arrivals", Json::object());
  for (const Json& c : At(json, "classes", Json::array({{{"name", "aviso"}}}))) {
    ClassMix mix;
    mix.name = c.at("name").get<std::string>();
    mix.weight = At(c, "weight", mix.weight);
    mix.deadline_ms = At(c, "deadline_ms", mix.deadline_ms);
    mix.aim_ms = At(c, "aim_ms", mix.aim_ms);
    mix.repeat = RepeatFrom(At<std::string>(c, "repeat", "free"));
    s.classes.push_back(mix);
  }
  const Json destinations = At(json, "destinations", Json::object());
  s.first_destination = At(destinations, "first", 0);
  s.destinations = At(destinations, "count", 1);
  s.zipf = At(destinations, "zipf", 0.0);
  s.body_bytes = At(json, "body_bytes", Json{{"kind", "constant"}, {"value", 200}});
  Place("/body_bytes", [&] { return Distribution::FromJson(s.body_bytes).Mean(); });
  const Json callers = At(json, "callers", Json::object());
  s.callers = At(callers, "count", 1);
  if (callers.contains("hot")) {
    const Json& hot = callers["hot"];
    s.hot = HotCaller{hot.at("share"), At(hot, "from_s", 0.0), hot.at("for_s"), At(hot, "destinations", 1)};
  }
  if (json.contains("clumps")) {
    const Json& c = json["clumps"];
    Clumps clumps;
    clumps.every_s = At(c, "every_s", clumps.every_s);
    clumps.worth_least_s = At(c, "worth_least_s", clumps.worth_least_s);
    clumps.worth_most_s = At(c, "worth_most_s", clumps.worth_most_s);
    clumps.partner_rate = At(c, "partner_rate", clumps.partner_rate);
    clumps.over_ms = At(c, "over_ms", clumps.over_ms);
    if (clumps.worth_most_s < clumps.worth_least_s)
      throw std::runtime_error("/clumps/worth_most_s: expected at least worth_least_s");
    s.clumps = clumps;
  }
  s.trace = At<std::string>(json, "trace", "");
  if (json.contains("valid")) {
    s.valid.lag_ms = At(json["valid"], "lag_ms", s.valid.lag_ms);
    s.valid.share = At(json["valid"], "share", s.valid.share);
    s.valid.run_queue_share = At(json["valid"], "run_queue_share", s.valid.run_queue_share);
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
    Override(ScenarioSchema(), json, overrides);
    return ScenarioFromJson(json);
  } catch (const std::exception& error) {
    throw std::runtime_error((path.empty() ? "scenario" : path) + ": " + error.what());
  }
}

}  // namespace sagetally::lab
