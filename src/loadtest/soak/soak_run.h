// Runs one soak schedule with real dispatcher processes on loopback, and checks the rules of soak_judge.h and
// of the stub servers' checker. Called by the `soak` command; it starts and joins its own threads and
// processes.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_RUN_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "loadtest/proxy/fault_proxy.h"
#include "loadtest/soak/soak_judge.h"
#include "loadtest/soak/soak_schedule.h"

namespace sagetally::loadtest {

struct SoakOptions {
  std::string program;  // path of the sagetally program to start
  std::string shim;     // path of the fault shim's library; needed if the schedule has system call faults
  std::function<bool()> stop;  // polled during the run; returns true to stop it early; may be empty
};

// What a run needs at least in order to count.
inline constexpr std::int64_t kMinRequests = 3000;
inline constexpr std::int64_t kMinFaults = 3;

struct SoakResult {
  std::int64_t requests = 0;           // written in full by the clients
  std::int64_t answered = 0;           // of these, those with a complete response
  std::int64_t injected_faults = 0;    // system call faults that the shim injected
  std::int64_t peak_memory_bytes = 0;  // the largest resident memory that a dispatcher process had
  // What the proxies on the paths of the clients, to the partners and to the agent have recorded.
  ProxyRecord client_path;
  ProxyRecord partner_path;
  ProxyRecord agent_path;
  std::vector<SoakViolation> violations;
  // Whether the run was too light to count: too few requests, or hardly a fault that struck.
  bool IsThin() const { return requests < kMinRequests || FaultCount() < kMinFaults; }
  // Faults of paths, partners, processes and system calls that were seen to strike.
  std::int64_t FaultCount() const {
    return injected_faults + client_path.InjectedCount() + partner_path.InjectedCount() +
           agent_path.InjectedCount();
  }
  std::string folder;  // the run's logs and files; already removed unless a rule was violated
};

// Blocks until the run is over. Throws std::runtime_error if a process doesn't start, the shim is missing or
// the folder can't be created.
SoakResult RunSoak(const SoakSchedule& schedule, const SoakOptions& options);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_RUN_H_
