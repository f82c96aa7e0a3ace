#include "loadtest/demo/demo.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <ostream>
#include <stdexcept>
#include <thread>

#include "loadtest/clock.h"
#include "loadtest/demo/demo_config.h"
#include "loadtest/demo/node_processes.h"
#include "loadtest/report/report.h"
#include "loadtest/report/result_file.h"
#include "loadtest/report/result_table.h"
#include "loadtest/stub/stub_server_thread.h"

namespace sagetally::loadtest {
namespace {

namespace fs = std::filesystem;

constexpr auto kRegistrationPollInterval = std::chrono::milliseconds(20);
constexpr auto kOutcomePollInterval = std::chrono::milliseconds(100);
constexpr auto kRegistrationTimeout = std::chrono::seconds(10);

// A temporary folder, which the destructor removes with its content.
class TemporaryFolder {
 public:
  TemporaryFolder() : path_((fs::temp_directory_path() / "sagetally-try-XXXXXX").string()) {
    if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error(path_ + ": can't be created");
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    fs::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string FindProgram(const DemoOptions& options) {
  std::string program = options.program.empty()
                            ? (fs::read_symlink("/proc/self/exe").parent_path() / "sagetally").string()
                            : options.program;
  if (!fs::exists(program)) {
    throw std::runtime_error(program + ": no such program; build it, or pass its path with --program");
  }
  return program;
}

// Prints a progress bar if the output is a terminal.
void PrintProgress(std::ostream& out, double seconds, double total_seconds, const Progress& progress) {
  if (::isatty(STDOUT_FILENO) != 1) return;
  constexpr int kWidth = 30;
  const int done = std::clamp(static_cast<int>(seconds / total_seconds * kWidth), 0, kWidth);
  out << fmt::format("\r[{}{}] {:4.1f} s  offered {}  taken {}  refused {}  unanswered {}\033[K",
                     std::string(done, '#'), std::string(kWidth - done, '.'), std::max(0.0, seconds),
                     progress.offered.load(), progress.accepted.load(), progress.rejected.load(),
                     progress.unanswered.load())
      << std::flush;
}

// Starts `count` nodes of one role and returns their names. Doesn't wait until they are ready.
std::vector<std::string> StartNodesOfRole(const std::string& role, int count, const StubServerThread& stubs,
                                          const std::string& folder, NodeProcesses& nodes) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    const std::string name = fmt::format("{}{}", role, i);
    const std::string state = fmt::format("{}/{}", folder, name);
    nodes.Start(name, DemoPlatformConfigJson(name, stubs, state, false), DemoNodeFileJson(role, stubs));
    names.push_back(name);
  }
  return names;
}

// Waits until `count` planners have registered with the service registry. Throws std::runtime_error after
// kRegistrationTimeout.
void WaitForPlanners(const StubServerThread& stubs, int count) {
  const auto deadline = std::chrono::steady_clock::now() + kRegistrationTimeout;
  while (stubs.planners() < static_cast<std::size_t>(count)) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error("the planners did not register in time");
    }
    std::this_thread::sleep_for(kRegistrationPollInterval);
  }
}

// Starts all nodes and returns the ports of those that accept messages.
std::vector<std::uint16_t> StartNodes(const DemoOptions& options, const StubServerThread& stubs,
                                      const std::string& folder, NodeProcesses& nodes) {
  if (!options.two_levels) {
    nodes.Start("n0", DemoPlatformConfigJson("n0", stubs, folder + "/n0", true), nullptr);
    return {nodes.WaitUntilReady("n0")};
  }
  for (const std::string& planner : StartNodesOfRole("planner", options.planners, stubs, folder, nodes)) {
    nodes.WaitUntilReady(planner);
  }
  WaitForPlanners(stubs, options.planners);
  std::vector<std::uint16_t> ports;
  for (const std::string& forwarder :
       StartNodesOfRole("forwarder", options.forwarders, stubs, folder, nodes)) {
    ports.push_back(nodes.WaitUntilReady(forwarder));
  }
  return ports;
}

void PrintIntroduction(const DemoOptions& options, std::ostream& out) {
  const std::string nodes =
      options.two_levels ? fmt::format("{} forwarders and {} planners", options.forwarders, options.planners)
                         : std::string("one dispatcher");
  out << fmt::format("{} partners on loopback, {}; {:.0f} s of traffic, at most {:.0f} messages a second{}\n",
                     kDemoDestinations, nodes, options.seconds, options.rate,
                     options.outage ? ", through an outage and errors" : "")
      << std::flush;
}

RunRecords OfferLoad(const DemoOptions& options, const Scenario& scenario, std::ostream& out) {
  RunOptions run_options;
  run_options.stop = options.stop;
  run_options.progress = [&](double seconds, const Progress& progress) {
    PrintProgress(out, seconds, options.seconds, progress);
  };
  return RunLoad(scenario, run_options);
}

// Summarizes the run repeatedly, until no message is pending or the user interrupts.
RunResult AwaitOutcomes(const DemoOptions& options, const Scenario& scenario, RunRecords& run,
                        const StubServerThread& stubs, const FaultTimeline& timeline) {
  const std::string name = options.two_levels ? "try, two levels" : "try, one dispatcher";
  while (true) {
    run.ended_us = NowUs();
    RunResult result = MakeResult(name, scenario, run, stubs.Observations(), true, timeline);
    const bool is_interrupted = options.stop && options.stop();
    const std::int64_t pending = result.summary.outcomes[static_cast<std::size_t>(FinalOutcome::kPending)];
    if (is_interrupted || pending == 0) return result;
    std::this_thread::sleep_for(kOutcomePollInterval);
  }
}

// Adds the checker's violations and the nodes' problems to the summary.
void AddViolations(const Checker& checker, const std::vector<std::string>& problems, RunSummary& summary) {
  for (const Violation& violation : checker.violations()) {
    if (summary.violations.size() < kMaxRecordedViolations) summary.violations.push_back(violation);
  }
  summary.violation_count += checker.count();
  for (const std::string& problem : problems) {
    summary.violations.push_back({"process", "", problem});
    ++summary.violation_count;
  }
}

void PrintOutcome(const RunResult& result, const Checker& checker, std::ostream& out) {
  const std::int64_t violations = result.summary.violation_count;
  out << "\n";
  PrintResult(result, out);
  out << fmt::format("{} calls at the partners, {} effects; rules checked: {}\n", checker.calls(),
                     checker.effects(), violations == 0 ? "all kept" : fmt::format("{} broken", violations));
}

}  // namespace

RunResult RunDemo(const DemoOptions& options, std::ostream& out) {
  const std::string program = FindProgram(options);
  const TemporaryFolder folder;
  const StubServerSettings settings = StubServerSettingsFromJson(DemoStubServersJson(options));
  StubServerThread stubs(settings);
  NodeProcesses nodes(program, folder.path());
  const std::vector<std::uint16_t> ports = StartNodes(options, stubs, folder.path(), nodes);
  const Scenario scenario = ScenarioFromJson(DemoScenarioJson(options, ports));
  PrintIntroduction(options, out);
  // The timeline's times are relative to the start of the stub servers; those of results are relative to the
  // run's.
  const std::int64_t offset_ms = (NowUs() - stubs.started_us) / 1000;
  std::vector<FaultSpan> spans = settings.timeline.spans();
  for (FaultSpan& span : spans) span.from_ms -= static_cast<double>(offset_ms);
  RunRecords run = OfferLoad(options, scenario, out);
  RunResult result = AwaitOutcomes(options, scenario, run, stubs, FaultTimeline(spans));
  const std::vector<std::string> problems = nodes.Stop();
  const Checker& checker = stubs.Stop().checker;
  AddViolations(checker, problems, result.summary);
  PrintOutcome(result, checker, out);
  WriteReport({result}, options.output);
  WriteResult(result, options.output + "/result.json");
  out << "report: " << options.output << "/report.html\n";
  return result;
}

}  // namespace sagetally::loadtest
