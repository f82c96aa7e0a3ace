// Settings of a set of stub servers, read from a JSON file (deploy/schema/standin.schema.json) with single
// settings overridden by flags and variables. The codec in stub_server_settings.cpp is the only place that
// knows the file's keys.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SETTINGS_H_
#define SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/schema.h"
#include "loadtest/stub/agent.h"
#include "loadtest/stub/checker.h"
#include "loadtest/stub/partner.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

// A change that the agent announces.
struct EndpointStateChange {
  double at_ms = 0;  // since the start of the servers
  std::string uid;
  std::string state;
};

struct StubServerSettings {
  std::uint64_t seed = 1;  // of all random numbers
  Rules rules;
  std::vector<PartnerSettings> partners;
  FaultTimeline timeline;
  // Where the others listen; none: not started.
  std::optional<Address> agent;
  std::optional<Address> registry;
  std::optional<Address> sink;
  std::optional<Address> frontend;
  AgentFaults agent_faults;
  std::vector<EndpointStateChange> state_changes;
  std::function<Identity(const Call&)> identify;  // how partners identify calls; empty: by submission id
  bool serve_partners = true;                     // else partners are only listed, and run in another process
};

nlohmann::json StubServerSchema();

// Throws std::runtime_error that begins with the JSON pointer of the wrong value, and says what was expected.
StubServerSettings StubServerSettingsFromJson(const nlohmann::json& json);

// Reads `path` (empty: an empty file) with `overrides` applied. Errors name the file too.
StubServerSettings ReadStubServerSettings(const std::string& path, const Overrides& overrides);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SETTINGS_H_
