// A set of stand-ins on one loop, described by one file: partners, an agent, a registry, a sink; one checker
// and one timeline for all of them. Its form is deploy/schema/standin.schema.json.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_STUB_SET_H_
#define SAGETALLY_SRC_LOADTEST_STUB_STUB_SET_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/schema.h"
#include "loadtest/report/record.h"
#include "loadtest/stub/agent.h"
#include "loadtest/stub/frontend.h"
#include "loadtest/stub/partner.h"
#include "loadtest/stub/registry.h"
#include "loadtest/stub/sink.h"

namespace sagetally::loadtest {

struct ListChange {  // what the agent is to say, and when
  double at_ms = 0;
  std::string uid, state;
};

struct StandInSettings {
  std::uint64_t seed = 1;
  Rules rules;
  std::vector<PartnerSettings> partners;
  Timeline timeline;
  std::optional<Address> agent, registry, sink, front;
  AgentScript agent_how;
  std::vector<ListChange> list_changes;
  bool serve_partners = true;  // else they are only listed, and run elsewhere
};

nlohmann::json StandInSchema();
StandInSettings StandInSettingsFromJson(const nlohmann::json& json);  // throws std::runtime_error
StandInSettings ReadStandIns(const std::string& path, const Overrides& overrides);

class StandIns {
 public:
  StandIns(EventLoop& loop, const StandInSettings& settings);
  ~StandIns();

  Checker checker;  // outlives those who tell it
  std::vector<std::unique_ptr<Partner>> partners;
  std::unique_ptr<Agent> agent;
  std::unique_ptr<Registry> registry;
  std::unique_ptr<Sink> sink;
  std::unique_ptr<FrontStandIn> front;
  std::vector<Sighting> sightings;  // empty if there is `on_sighting`
  std::function<void(const Sighting&)> on_sighting;
  std::int64_t started_us() const { return started_us_; }
  // The partners' entries, as discovery lists them.
  std::vector<Target> Targets() const;

 private:
  void See(SeenKind kind, const std::string& id);
  EventLoop& loop_;
  const std::vector<PartnerSettings> listed_;
  const Timeline timeline_;
  const std::int64_t started_us_;
  std::vector<std::unique_ptr<Timer>> changes_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_STUB_SET_H_
