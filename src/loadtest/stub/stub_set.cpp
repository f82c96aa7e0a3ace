#include "loadtest/stub/stub_set.h"

#include <fmt/format.h>

#include "loadtest/clock.h"
#include "loadtest/load/scenario.h"
#include "loadtest/schemas.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

PartnerSettings PartnerFromJson(const Json& json, std::size_t number) {
  PartnerSettings p;
  p.uid = json.value("uid", "s-" + std::to_string(number));
  p.listen = ParseAddress(json.value("listen", "127.0.0.1:0"), "listen");
  p.destination = json.value("destination", 0);
  p.capacity = json.value("capacity", 0);
  p.queue = json.value("queue", 0);
  if (json.contains("service_ms")) p.service_ms = Distribution::FromJson(json["service_ms"]);
  p.rate = json.value("rate", 0.0);
  p.burst = json.value("burst", p.burst);
  p.window_calls = json.value("window_calls", 0);
  p.window_ms = json.value("window_ms", p.window_ms);
  p.tell_waits = json.value("tell_waits", true);
  p.connections = json.value("connections", p.connections);
  p.cold_ms = json.value("cold_ms", 0.0);
  p.cold_times = json.value("cold_times", p.cold_times);
  p.key_memory_ms = json.value("key_memory_ms", p.key_memory_ms);
  return p;
}

std::optional<Address> Where(const Json& json, const char* key) {
  if (!json.contains(key)) return std::nullopt;
  return ParseAddress(json[key].value("listen", "127.0.0.1:0"), key);
}

}  // namespace

Json StandInSchema() { return Json::parse(kStandInSchema); }

StandInSettings StandInSettingsFromJson(const Json& json) {
  Validate(StandInSchema(), json);
  StandInSettings s;
  s.seed = json.value("seed", s.seed);
  if (json.contains("rules")) {
    const Json& rules = json["rules"];
    s.rules.slots = rules.value("slots", 0);
    s.rules.most_attempts = rules.value("most_attempts", s.rules.most_attempts);
    s.rules.repeat_window_us = rules.value("repeat_window_ms", 10'000) * 1000 + 50'000;
  }
  for (const Json& p : json.value("partners", Json::array())) {
    try {
      s.partners.push_back(PartnerFromJson(p, s.partners.size()));
    } catch (const std::exception& error) {
      throw std::runtime_error(fmt::format("/partners/{}: {}", s.partners.size(), error.what()));
    }
  }
  s.timeline = Timeline::FromJson(json.value("timeline", Json::array()));
  s.agent = Where(json, "agent");
  s.registry = Where(json, "registry");
  s.sink = Where(json, "sink");
  s.front = Where(json, "front");
  if (s.agent) {
    const Json& agent = json["agent"];
    s.agent_how.late_ms = agent.value("late_ms", 0.0);
    s.agent_how.lost = agent.value("lost", false);
    s.agent_how.stale = agent.value("stale", false);
    for (const Json& c : agent.value("changes", Json::array()))
      s.list_changes.push_back({c.value("at_ms", 0.0), c.at("uid"), c.at("state")});
  }
  return s;
}

StandInSettings ReadStandIns(const std::string& path, const Overrides& overrides) {
  Json json = ReadJsonFile(path);
  try {
    ApplyOverrides(StandInSchema(), json, overrides);
    return StandInSettingsFromJson(json);
  } catch (const std::exception& error) {
    throw std::runtime_error((path.empty() ? "stand-ins" : path) + ": " + error.what());
  }
}

StandIns::StandIns(EventLoop& loop, const StandInSettings& settings)
    : checker(settings.rules),
      loop_(loop),
      listed_(settings.partners),
      timeline_(settings.timeline),
      started_us_(NowUs()) {
  for (const PartnerSettings& p : settings.partners) {
    if (!settings.serve_partners) break;
    partners.push_back(std::make_unique<Partner>(loop, p, timeline_, checker,
                                                 Stream(settings.seed, "partner " + p.uid), started_us_));
    partners.back()->on_effect = [this](const std::string& id) { See(SeenKind::kEffect, id); };
    partners.back()->on_delivered = [this](const std::string& id) { See(SeenKind::kDelivered, id); };
  }
  if (settings.agent) {
    agent = std::make_unique<Agent>(loop, *settings.agent);
    agent->keep_notices = false;
    for (const Target& target : Targets()) agent->Put(target);
    agent->how = settings.agent_how;
    agent->on_notice = [this](const std::string& id, const std::string& status) {
      See(status == "deferred" ? SeenKind::kDeferred : SeenKind::kUndeliverable, id);
    };
    agent->on_told = [this](const std::string& uid, const std::string& state) {
      state == "in_service" ? checker.ToldInService(uid) : checker.ToldDraining(NowUs(), uid);
    };
    for (const ListChange& change : settings.list_changes) {
      changes_.push_back(
          std::make_unique<Timer>(loop, [this, change] { agent->SetState(change.uid, change.state); }));
      changes_.back()->Schedule(Duration(static_cast<std::int64_t>(change.at_ms * 1000)));
    }
  }
  if (settings.registry) {
    registry = std::make_unique<Registry>(loop, *settings.registry);
    registry->keep_asked = false;
    for (const Target& t : Targets()) {
      registry->Put("PARTNERS", t.uid, ParseAddress(t.endpoint, "endpoint").port,
                    fmt::format(R"(,"metadata":{{"destination":"{}","rate":"{}"}})", t.destination, t.rate));
    }
  }
  if (settings.front) {
    front = std::make_unique<FrontStandIn>(loop, *settings.front, timeline_, Stream(settings.seed, "front"),
                                           started_us_);
    front->on_taken = [this](const std::string& id) { See(SeenKind::kDelivered, id); };
  }
  if (settings.sink) {
    sink = std::make_unique<Sink>(loop, *settings.sink);
    sink->on_event = [this](const std::string& type, const std::string& id) {
      See(type.ends_with("deferred") ? SeenKind::kDeferred : SeenKind::kUndeliverable, id);
    };
  }
}
StandIns::~StandIns() = default;

std::vector<Target> StandIns::Targets() const {
  std::vector<Target> all;
  for (std::size_t i = 0; i < listed_.size(); ++i) {
    const PartnerSettings& p = listed_[i];
    const std::uint16_t port = i < partners.size() ? partners[i]->port() : p.listen.port;
    Target target;
    target.uid = p.uid;
    target.endpoint = fmt::format("{}:{}", p.listen.host, port);
    target.destination = p.destination;
    if (p.rate > 0) target.rate = p.rate;
    all.push_back(target);
  }
  return all;
}

void StandIns::See(SeenKind kind, const std::string& id) {
  Sighting sighting{kind, NowUs(), id};
  if (on_sighting) return on_sighting(sighting);
  sightings.push_back(std::move(sighting));
}

}  // namespace sagetally::loadtest
