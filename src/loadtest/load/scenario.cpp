#include "loadtest/load/scenario.h"

#include <fstream>
#include <stdexcept>

#include "loadtest/load/distribution.h"
#include "loadtest/schemas.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

// Calls `read` and puts the JSON pointer in front of the messages of its errors, for rules that the schema
// can't express.
template <typename F>
auto WithPointer(const std::string& pointer, F read) {
  try {
    return read();
  } catch (const std::exception& error) {
    throw std::runtime_error(pointer + ": " + error.what());
  }
}

Idempotency IdempotencyFromName(const std::string& name) {
  if (name == Name(Idempotency::kNotIdempotent)) return Idempotency::kNotIdempotent;
  if (name == Name(Idempotency::kIdempotentWithKey)) return Idempotency::kIdempotentWithKey;
  return Idempotency::kIdempotent;
}

CloudEventsMode EventModeFromName(const std::string& name) {
  if (name == "batched") return CloudEventsMode::kBatched;
  if (name == "structured") return CloudEventsMode::kStructured;
  return CloudEventsMode::kBinary;
}

std::vector<Address> TargetsFromJson(const Json& json) {
  std::vector<Address> targets;
  for (const Json& target : json) {
    targets.push_back(WithPointer(
        "/targets", [&] { return ParseAddress(target.get_ref<const std::string&>(), "a target"); }));
  }
  return targets;
}

MessageClass MessageClassFromJson(const Json& json) {
  MessageClass message_class;
  message_class.name = json.at("name").get<std::string>();
  message_class.weight = json.value("weight", message_class.weight);
  message_class.deadline_ms = json.value("deadline_ms", message_class.deadline_ms);
  message_class.latency_objective_ms = json.value("aim_ms", message_class.latency_objective_ms);
  message_class.idempotency = IdempotencyFromName(json.value("repeat", std::string("free")));
  return message_class;
}

HotClient HotClientFromJson(const Json& json) {
  HotClient client;
  client.fraction = json.at("share");
  client.from_s = json.value("from_s", 0.0);
  client.for_s = json.at("for_s");
  client.destination_count = json.value("destinations", 1);
  return client;
}

DestinationBursts DestinationBurstsFromJson(const Json& json) {
  DestinationBursts bursts;
  bursts.every_s = json.value("every_s", bursts.every_s);
  bursts.min_work_s = json.value("worth_least_s", bursts.min_work_s);
  bursts.max_work_s = json.value("worth_most_s", bursts.max_work_s);
  bursts.destination_rate = json.value("partner_rate", bursts.destination_rate);
  bursts.spread_ms = json.value("over_ms", bursts.spread_ms);
  if (bursts.max_work_s < bursts.min_work_s) {
    throw std::runtime_error("/clumps/worth_most_s: expected at least worth_least_s");
  }
  return bursts;
}

ValidityLimits ValidityLimitsFromJson(const Json& json) {
  ValidityLimits limits;
  limits.lag_ms = json.value("lag_ms", limits.lag_ms);
  limits.late_fraction = json.value("share", limits.late_fraction);
  limits.run_queue_fraction = json.value("run_queue_share", limits.run_queue_fraction);
  return limits;
}

// Reads the settings by which the clients send, wait for responses and submit again.
void ReadClientSettings(const Json& json, Scenario& scenario) {
  const bool cloud_events = json.value("front", std::string("platform")) == "events";
  scenario.protocol = cloud_events ? TargetProtocol::kCloudEvents : TargetProtocol::kPlatform;
  scenario.event_mode = EventModeFromName(json.value("mode", std::string("binary")));
  scenario.batch_size = json.value("batch", scenario.batch_size);
  scenario.batch_wait_ms = json.value("batch_wait_ms", scenario.batch_wait_ms);
  scenario.threads = json.value("threads", scenario.threads);
  scenario.connections = json.value("connections", scenario.connections);
  scenario.max_queued_messages = json.value("backlog", scenario.max_queued_messages);
  scenario.max_messages = json.value("max_messages", scenario.max_messages);
  scenario.response_timeout_ms = json.value("answer_ms", scenario.response_timeout_ms);
  scenario.max_resubmissions = json.value("hand_ins_again", scenario.max_resubmissions);
  scenario.resubmit_delay_ms = json.value("again_ms", scenario.resubmit_delay_ms);
}

}  // namespace

const char* Name(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::kNotIdempotent:
      return "never";
    case Idempotency::kIdempotentWithKey:
      return "keyed";
    case Idempotency::kIdempotent:
      break;
  }
  return "free";
}

Json ScenarioSchema() { return Json::parse(kScenarioSchema); }

Scenario ScenarioFromJson(const Json& json) {
  ValidateAgainstSchema(ScenarioSchema(), json);
  Scenario scenario;
  scenario.seed = json.value("seed", scenario.seed);
  scenario.seconds = json.value("seconds", scenario.seconds);
  scenario.drain_s = json.value("drain_s", scenario.drain_s);
  scenario.targets = TargetsFromJson(json.at("targets"));
  ReadClientSettings(json, scenario);
  scenario.arrivals = json.value("arrivals", Json::object());
  for (const Json& message_class : json.value("classes", Json::array({{{"name", "aviso"}}}))) {
    scenario.classes.push_back(MessageClassFromJson(message_class));
  }
  const Json destinations = json.value("destinations", Json::object());
  scenario.first_destination = destinations.value("first", 0);
  scenario.destination_count = destinations.value("count", 1);
  scenario.zipf_exponent = destinations.value("zipf", 0.0);
  scenario.body_bytes = json.value("body_bytes", Json{{"kind", "constant"}, {"value", 200}});
  WithPointer("/body_bytes", [&] { return Distribution::FromJson(scenario.body_bytes).Mean(); });
  const Json clients = json.value("callers", Json::object());
  scenario.client_count = clients.value("count", 1);
  if (clients.contains("hot")) scenario.hot_client = HotClientFromJson(clients["hot"]);
  if (json.contains("clumps")) scenario.destination_bursts = DestinationBurstsFromJson(json["clumps"]);
  scenario.trace = json.value("trace", std::string(""));
  if (json.contains("valid")) scenario.validity = ValidityLimitsFromJson(json["valid"]);
  return scenario;
}

Json ReadJsonFile(const std::string& path) {
  if (path.empty()) return Json::object();
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  try {
    return Json::parse(file);
  } catch (const Json::parse_error& error) {
    throw std::runtime_error(path + ": invalid JSON: " + error.what());
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
