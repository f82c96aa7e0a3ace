// One soak run, drawn from a seed: the processes, their clients, and every fault. Equal seeds give equal
// schedules, and a schedule written to a file can be played again.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_SCHEDULE_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_SCHEDULE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sagetally::loadtest {

enum class NodeFault { kRestart, kKill, kReload, kPause };

// A fault of one dispatcher process.
struct NodeFaultEvent {
  NodeFault fault = NodeFault::kRestart;
  double at_ms = 0;
  int node = 0;
};

// A fault of one partner, by the names of the stub servers' timeline.
struct PartnerFaultEvent {
  std::string fault;
  double at_ms = 0;
  double for_ms = 0;
  int destination = 0;
  double share = 1;  // of the calls
};

struct SoakSchedule {
  std::uint64_t seed = 1;
  double seconds = 6;
  int nodes = 1;
  int clients_per_node = 4;
  int crowd = 0;            // connections to each node that stop within a first request
  int sockets = 256;        // descriptors of each node, by its configuration
  std::string call_faults;  // the fault shim's specification; empty: none
  std::vector<NodeFaultEvent> node_faults;
  std::vector<PartnerFaultEvent> partner_faults;
};

SoakSchedule DrawSchedule(std::uint64_t seed);
nlohmann::json ToJson(const SoakSchedule& schedule);
// Throws std::runtime_error that names line or key and what was expected there.
SoakSchedule ReadSchedule(const std::string& path);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_SCHEDULE_H_
