// The settings of a set of stub servers. They are read from a JSON file (deploy/schema/standin.schema.json);
// command line flags and environment variables override single settings. Only stub_server_settings.cpp knows
// the keys of the file.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SETTINGS_H_
#define SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/schema.h"
#include "loadtest/proxy/path_faults.h"
#include "loadtest/stub/agent.h"
#include "loadtest/stub/checker.h"
#include "loadtest/stub/partner.h"
#include "loadtest/stub/timeline.h"

namespace sagetally::loadtest {

// A change of an endpoint's state that the agent announces at a given time.
struct EndpointStateChange {
  double at_ms = 0;  // milliseconds since the start of the servers
  std::string uid;
  std::string state;
};

struct StubServerSettings {
  std::uint64_t seed = 1;  // seeds all random numbers of the servers
  Rules rules;
  std::vector<PartnerSettings> partners;
  FaultTimeline timeline;
  // The listen addresses of the other servers. A server without an address is not started.
  std::optional<Address> agent;
  std::optional<Address> registry;
  std::optional<Address> sink;
  std::optional<Address> frontend;
  AgentFaults agent_faults;
  std::vector<EndpointStateChange> state_changes;
  // Identifies the message of a call to a partner. If it is empty, the submission id identifies the message.
  std::function<Identity(const Call&)> identify;
  // The faults on the paths to the partners and to the agent. Without a value there is no proxy on the path.
  std::optional<PathFaults> partner_path_faults;
  std::optional<PathFaults> agent_path_faults;
  // Whether the partners are started. Otherwise they are only listed, because they run in another process.
  bool serve_partners = true;
};

// Returns the JSON schema of the file.
nlohmann::json StubServerSchema();

// Validates `json` against the schema and converts it. The message of a thrown std::runtime_error begins with
// the JSON pointer of the wrong value and says what was expected.
StubServerSettings StubServerSettingsFromJson(const nlohmann::json& json);

// Reads the file and applies `overrides`. An empty `path` stands for an empty object. Throws
// std::runtime_error whose message begins with the path.
StubServerSettings ReadStubServerSettings(const std::string& path, const Overrides& overrides);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_STUB_SERVER_SETTINGS_H_
