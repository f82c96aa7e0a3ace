// The configuration files of the demonstration: load scenario, stub servers, and each node's two files. Keys
// and values are those of the files' schemas and of the platform's configuration.
#ifndef SAGETALLY_SRC_LOADTEST_DEMO_DEMO_CONFIG_H_
#define SAGETALLY_SRC_LOADTEST_DEMO_DEMO_CONFIG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loadtest/demo/demo.h"
#include "loadtest/stub/stub_server_thread.h"

namespace sagetally::loadtest {

// Of the demonstration's partners, one for each destination.
inline constexpr int kDemoDestinations = 8;

// A day in small: traffic rises and falls, single destinations get bursts, and one client is hot for a while.
// `ports`: of the nodes that accept messages, on loopback.
nlohmann::json DemoScenarioJson(const DemoOptions& options, const std::vector<std::uint16_t>& ports);

nlohmann::json DemoStubServersJson(const DemoOptions& options);

// A node's configuration from the platform. `state`: its folder. `with_endpoints`: lists the partners, for a
// node that doesn't get them from the service registry.
nlohmann::json DemoPlatformConfigJson(const std::string& name, const StubServerThread& stubs,
                                      const std::string& state, bool with_endpoints);

// The node file of a forwarder or planner.
nlohmann::json DemoNodeFileJson(const std::string& role, const StubServerThread& stubs);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_DEMO_DEMO_CONFIG_H_
