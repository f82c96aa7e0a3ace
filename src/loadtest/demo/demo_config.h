// The configuration files of the demonstration: the load scenario, the stub servers, and the two files of
// each node. Keys and values are those of the files' schemas and of the platform's configuration. Called by
// the demonstration and the soak; pure functions.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_DEMO_CONFIG_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_DEMO_CONFIG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loadtest/demo/demo.h"
#include "loadtest/stub/stub_server_thread.h"

namespace sagetally::loadtest {

// The number of destinations, each with one partner.
inline constexpr int kDemoDestinations = 8;

// The load scenario, a day's traffic in short: the rate rises and falls, single destinations get bursts, and
// one client sends 15% of the messages for a fifth of the run. `ports` are those of the nodes that accept
// messages, on loopback.
nlohmann::json DemoScenarioJson(const DemoOptions& options, const std::vector<std::uint16_t>& ports);

// The stub servers' file: partners, agent, registry and sink, with the outage and the errors if
// `options.outage`.
nlohmann::json DemoStubServersJson(const DemoOptions& options);

// A node's configuration as the platform writes it. `state` is the folder of the node's state.
// `with_endpoints` lists the partners in it, for a node that doesn't get them from the service registry.
nlohmann::json DemoPlatformConfigJson(const std::string& name, const StubServerThread& stubs,
                                      const std::string& state, bool with_endpoints);

// The node file of a forwarder or planner.
nlohmann::json DemoNodeFileJson(const std::string& role, const StubServerThread& stubs);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_DEMO_CONFIG_H_
