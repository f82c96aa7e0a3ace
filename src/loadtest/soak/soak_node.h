// One dispatcher process of a soak run, with its restarts.
#ifndef SAGETALLY_SRC_LOADTEST_SOAK_SOAK_NODE_H_
#define SAGETALLY_SRC_LOADTEST_SOAK_SOAK_NODE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/demo/child.h"
#include "loadtest/soak/process_memory.h"
#include "loadtest/soak/soak_judge.h"
#include "loadtest/soak/soak_run.h"
#include "loadtest/soak/soak_schedule.h"
#include "loadtest/stub/stub_server_thread.h"

namespace sagetally::loadtest {

// Starts the process, applies its faults, restarts it, enforces its memory limit, and records its down times
// and violations. Used by the runner's thread only, except for the ports, which the clients read.
class SoakNode {
 public:
  static constexpr auto kStepInterval = std::chrono::milliseconds(5);
  static constexpr std::int64_t kTerminationTimeoutUs = 3'700'000;  // from SIGTERM to SIGKILL

  // `schedule` and `options` must outlive the node. Its files are written to `folder`.
  SoakNode(int number, const SoakSchedule& schedule, const SoakOptions& options,
           const StubServerThread& stubs, const std::string& folder);

  // The ports for clients; 0 while the process is not ready, or has no such port.
  const std::atomic<std::uint16_t>& port() const { return port_; }
  const std::atomic<std::uint16_t>& cloudevents_port() const { return cloudevents_port_; }
  const std::vector<DownTime>& down_times() const { return down_times_; }
  const std::vector<SoakViolation>& violations() const { return violations_; }
  // The largest resident memory of all its processes so far.
  std::int64_t peak_memory_bytes() const;

  // Injects the fault, unless the process isn't running. A process that has been sent SIGTERM gets further
  // signals too, but is killed no earlier for that.
  void Apply(NodeFault fault);
  // Continues, kills or starts the process where that is due, notices an exit or readiness, and kills it if
  // it holds more memory than its limit. Called every kStepInterval.
  void Step();
  // Adds a violation if the process holds much more memory than when it was started. To be called when it has
  // been idle for some seconds.
  void CheckMemoryReturned();
  // Sends SIGTERM at the end of the run, after SIGCONT if the process is paused. Doesn't wait for the exit.
  void Stop();
  bool Running() const { return process_->Running(); }
  // Throws std::runtime_error if the node isn't ready within 20 s.
  void AwaitReady();

 private:
  std::string ConfigPath() const;
  std::string NodeFilePath() const;
  std::string LogPath() const;
  void WriteConfig(const StubServerThread& stubs);
  void Start();
  void CheckReady();
  void EnforceMemoryLimit();
  void CheckPeakMemory();
  void Kill();
  void OnExit();
  void BeginDownTime();

  const int number_;
  const SoakSchedule& schedule_;
  const SoakOptions& options_;
  const std::string folder_;
  std::unique_ptr<Child> process_;
  ProcessMemory memory_;
  std::int64_t earlier_peak_bytes_ = 0;  // of the processes before this one
  std::atomic<std::uint16_t> port_{0};
  std::atomic<std::uint16_t> cloudevents_port_{0};
  int starts_ = 0;
  std::int64_t terminated_us_ = 0, paused_us_ = 0, start_at_us_ = 0;
  std::vector<DownTime> down_times_;
  std::vector<SoakViolation> violations_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_SOAK_SOAK_NODE_H_
