#include "loadtest/stub/stub_server_settings.h"

#include <fmt/format.h>

#include <stdexcept>

#include "loadtest/load/scenario.h"
#include "loadtest/schemas.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

constexpr const char* kAnyPort = "127.0.0.1:0";
// Added to the deduplication window, because a call that is sent before the window's end may arrive after it.
constexpr std::int64_t kWindowToleranceUs = 50'000;

PartnerSettings PartnerFromJson(const Json& json, std::size_t number) {
  PartnerSettings partner;
  partner.uid = json.value("uid", "s-" + std::to_string(number));
  partner.listen = ParseAddress(json.value("listen", kAnyPort), "listen");
  partner.destination = json.value("destination", 0);
  partner.capacity = json.value("capacity", 0);
  partner.queue_limit = json.value("queue", 0);
  if (json.contains("service_ms")) partner.service_ms = Distribution::FromJson(json["service_ms"]);
  partner.rate = json.value("rate", 0.0);
  partner.burst = json.value("burst", partner.burst);
  partner.max_calls_per_window = json.value("window_calls", 0);
  partner.window_ms = json.value("window_ms", partner.window_ms);
  partner.announces_waits = json.value("tell_waits", true);
  partner.max_connections = json.value("connections", partner.max_connections);
  partner.warm_up_ms = json.value("cold_ms", 0.0);
  partner.warm_up_slowdown = json.value("cold_times", partner.warm_up_slowdown);
  partner.key_retention_ms = json.value("key_memory_ms", partner.key_retention_ms);
  return partner;
}

Rules RulesFromJson(const Json& json) {
  Rules rules;
  rules.max_concurrent_calls = json.value("slots", 0);
  rules.max_attempts = json.value("most_attempts", rules.max_attempts);
  rules.deduplication_window_us = json.value("repeat_window_ms", 10'000) * 1000 + kWindowToleranceUs;
  return rules;
}

std::optional<Address> ListenAddress(const Json& json, const char* key) {
  if (!json.contains(key)) return std::nullopt;
  return ParseAddress(json[key].value("listen", kAnyPort), key);
}

}  // namespace

Json StubServerSchema() { return Json::parse(kStubServerSchema); }

StubServerSettings StubServerSettingsFromJson(const Json& json) {
  ValidateAgainstSchema(StubServerSchema(), json);
  StubServerSettings settings;
  settings.seed = json.value("seed", settings.seed);
  if (json.contains("rules")) settings.rules = RulesFromJson(json["rules"]);
  for (const Json& partner : json.value("partners", Json::array())) {
    const std::size_t number = settings.partners.size();
    try {
      settings.partners.push_back(PartnerFromJson(partner, number));
    } catch (const std::exception& error) {
      throw std::runtime_error(fmt::format("/partners/{}: {}", number, error.what()));
    }
  }
  settings.timeline = FaultTimeline::FromJson(json.value("timeline", Json::array()));
  settings.agent = ListenAddress(json, "agent");
  settings.registry = ListenAddress(json, "registry");
  settings.sink = ListenAddress(json, "sink");
  settings.frontend = ListenAddress(json, "front");
  if (settings.agent) {
    const Json& agent = json["agent"];
    settings.agent_faults.late_ms = agent.value("late_ms", 0.0);
    settings.agent_faults.lost = agent.value("lost", false);
    settings.agent_faults.stale = agent.value("stale", false);
    for (const Json& change : agent.value("changes", Json::array())) {
      settings.state_changes.push_back({change.value("at_ms", 0.0), change.at("uid"), change.at("state")});
    }
  }
  return settings;
}

StubServerSettings ReadStubServerSettings(const std::string& path, const Overrides& overrides) {
  Json json = ReadJsonFile(path);
  try {
    ApplyOverrides(StubServerSchema(), json, overrides);
    return StubServerSettingsFromJson(json);
  } catch (const std::exception& error) {
    throw std::runtime_error((path.empty() ? "stand-ins" : path) + ": " + error.what());
  }
}

}  // namespace sagetally::loadtest
