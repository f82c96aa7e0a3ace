// `sagetally-loadtest soak`: runs soak schedules one after another and prints the violations of each.
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>

#include "loadtest/commands/command.h"
#include "loadtest/interrupt.h"
#include "loadtest/soak/soak_run.h"

namespace sagetally::loadtest {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxShownViolations = 5;
constexpr std::size_t kMaxShownLogLines = 40;
constexpr double kBytesPerMegabyte = 1024 * 1024;

struct SoakCommandOptions {
  std::uint64_t seed = 1;
  int seeds = 1;
  std::string schedule;
  std::string program;
  std::string shim;
};

std::string BesideThisProgram(const char* name) {
  return (fs::read_symlink("/proc/self/exe").parent_path() / name).string();
}

// Prints the lines of the node logs in `folder` that name the request `id`, in order of time. Each line
// begins with its time, so the order of the text is that of time.
void PrintLogLines(const std::string& folder, const std::string& id) {
  std::set<std::string> lines;
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() != ".log") continue;
    std::ifstream file(entry.path());
    for (std::string line; std::getline(file, line);) {
      if (line.find("id=" + id + " ") != std::string::npos) {
        lines.insert(line + "  [" + entry.path().filename().string() + "]");
      }
    }
  }
  std::size_t shown = 0;
  for (const std::string& line : lines) {
    if (++shown > kMaxShownLogLines) break;
    std::cout << "    " << line << "\n";
  }
}

void PrintResult(const SoakSchedule& schedule, const SoakResult& result) {
  std::cout << fmt::format(
      "seed {}: {} nodes, crowd {}, {} requests, {} answered, {} faults injected, {} calls on {} connections "
      "with {} path faults, peak memory {:.1f} of {} MB, {} violations{}\n",
      schedule.seed, schedule.nodes, schedule.crowd.connections, result.requests, result.answered,
      result.injected_faults, result.partner_path.requests, result.partner_path.connections,
      result.FaultCount() - result.injected_faults,
      static_cast<double>(result.peak_memory_bytes) / kBytesPerMegabyte, schedule.memory_mb,
      result.violations.size(), result.IsThin() ? ", thin" : "");
  for (std::size_t i = 0; i < result.violations.size() && i < kMaxShownViolations; ++i) {
    const SoakViolation& violation = result.violations[i];
    std::cout << "  " << violation.rule << " " << violation.id << ": " << violation.detail << "\n";
    if (!violation.id.empty()) PrintLogLines(result.folder, violation.id);
  }
  if (!result.violations.empty()) std::cout << "  files: " << result.folder << "\n";
  std::cout << std::flush;
}

// The schedule file's run, or one run for each seed.
std::vector<SoakSchedule> Schedules(const SoakCommandOptions& options) {
  if (!options.schedule.empty()) return {ReadSchedule(options.schedule)};
  std::vector<SoakSchedule> schedules;
  for (int i = 0; i < options.seeds; ++i) {
    schedules.push_back(DrawSchedule(options.seed + static_cast<std::uint64_t>(i)));
  }
  return schedules;
}

int RunSoakCommand(const SoakCommandOptions& command) {
  Interrupt interrupt;
  SoakOptions options;
  options.program = command.program.empty() ? BesideThisProgram("sagetally") : command.program;
  options.shim = command.shim.empty() ? BesideThisProgram("libsagetally_fault_shim.so") : command.shim;
  options.stop = [&] { return interrupt.Requested(); };
  int passed = 0;
  int failed = 0;
  int thin = 0;
  for (const SoakSchedule& schedule : Schedules(command)) {
    if (interrupt.Requested()) break;
    const SoakResult result = RunSoak(schedule, options);
    PrintResult(schedule, result);
    (result.violations.empty() ? passed : failed) += 1;
    thin += result.IsThin() ? 1 : 0;
  }
  std::cout << fmt::format("{} runs were thin: under {} requests or {} faults\n", thin, kMinRequests,
                           kMinFaults);
  std::cout << fmt::format("{} passed, {} failed\n", passed, failed);
  return failed == 0 && passed > 0 ? 0 : 1;
}

}  // namespace

Command AddSoakCommand(CLI::App& parent) {
  auto options = std::make_shared<SoakCommandOptions>();
  CLI::App* command = AddSubcommand(
      parent, "soak", "runs dispatchers under injected faults, and checks the rules from outside");
  AddOption(command, "--seed", options->seed, "seed of the first run");
  AddOption(command, "--seeds", options->seeds, "number of runs, each with the next seed")
      ->check(CLI::Range(1, 10'000));
  AddOption(command, "--schedule", options->schedule,
            "a file with the schedule of one run, used instead of seeds");
  AddOption(command, "--program", options->program,
            "the sagetally to start; default: the one beside this program");
  AddOption(command, "--shim", options->shim, "the fault shim; default: the one beside this program");
  return {command, [options] { return RunSoakCommand(*options); }};
}

}  // namespace sagetally::loadtest
