// The schedule of one soak run: the number of processes and clients, and every fault. It is drawn at random
// from a seed; equal seeds give equal schedules. A schedule that was written to a file can be run again.
// Plain values, no threads.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_SCHEDULE_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loadtest/demo/demo_config.h"
#include "loadtest/proxy/path_faults.h"
#include "loadtest/soak/crowd.h"

namespace sagetally::loadtest {

// A fault of a dispatcher process, each caused by a signal.
enum class NodeFault {
  kRestart,  // SIGTERM, then a new start
  kKill,     // SIGKILL, then a new start
  kReload,   // SIGHUP
  kPause     // SIGSTOP, and SIGCONT 150 ms later
};

// A fault of one dispatcher process at a time of the run.
struct NodeFaultEvent {
  NodeFault fault = NodeFault::kRestart;
  double at_ms = 0;  // since the start of the run
  int node = 0;      // the node's number
};

// A fault of one partner's stub server.
struct PartnerFaultEvent {
  std::string fault;    // a fault name of the stub servers' timeline
  double at_ms = 0;     // since the start of the stub servers
  double for_ms = 0;    // duration
  int destination = 0;  // the partner's destination
  double share = 1;     // fraction of the calls that the fault affects, from 0 to 1
};

struct SoakSchedule {
  std::uint64_t seed = 1;
  double seconds = 10;  // how long messages are submitted
  int nodes = 1;        // dispatcher processes
  int clients_per_node = 4;
  std::size_t body_bytes = 2;    // length of the body of each message
  CrowdSettings crowd;           // hostile clients of each port of each node
  bool has_cloudevents = false;  // the nodes have a port for CloudEvents, too
  int descriptor_limit = 256;    // limit of each node's descriptors in its configuration
  double memory_mb = 192;        // limit of each node's memory, which the runner enforces
  int max_pending = 800;         // messages that each node holds at most
  bool judges_answers = false;   // sound clients must get their answers in time
  std::string call_faults;  // the fault shim's specification of system call faults; empty if there are none
  std::vector<NodeFaultEvent> node_faults;  // in order of time
  std::vector<PartnerFaultEvent> partner_faults;
  int destinations = kDemoDestinations;  // messages go to the first of the partners' destinations
  double partner_min_ms = 0;  // shortest and longest service time of the partners, uniformly distributed;
  double partner_max_ms = 0;  // 0: as in the demonstration, with its limits of rate and capacity
  // Faults on the paths between clients and dispatchers, dispatchers and partners, dispatchers and the agent.
  PathFaults client_path;
  PathFaults partner_path;
  PathFaults agent_path;
};

// Draws a random schedule. Equal seeds give equal schedules.
SoakSchedule DrawSchedule(std::uint64_t seed);

// The schedule as ReadSchedule() reads it.
nlohmann::json ToJson(const SoakSchedule& schedule);

// Reads a schedule from a JSON file. Throws std::runtime_error if the file can't be read or is not valid; the
// message names the file, the line or key, and the error.
SoakSchedule ReadSchedule(const std::string& path);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_SCHEDULE_H_
