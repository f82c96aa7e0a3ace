// `sagetally-loadtest load`: offers a scenario's messages to running nodes.
#include <filesystem>
#include <iostream>
#include <memory>

#include "loadtest/commands/command.h"
#include "loadtest/interrupt.h"
#include "loadtest/report/result_file.h"
#include "loadtest/report/result_table.h"

namespace sagetally::loadtest {
namespace {

struct LoadCommandOptions {
  std::string scenario;
  std::string record;
  std::string output = "result.json";
  std::string name;
  std::vector<std::string> observation_paths;
  Overrides settings;
  int repeat = 1;
};

// Prints one line for each second of the run.
void PrintProgress(double seconds, const Progress& progress) {
  static std::int64_t last_second = -1;
  const auto second = static_cast<std::int64_t>(seconds);
  if (second == last_second || seconds < 0) return;
  last_second = second;
  std::cerr << second << " s: offered " << progress.offered << ", taken " << progress.accepted << ", refused "
            << progress.rejected << ", unanswered " << progress.unanswered << "\n";
}

// The content of the observation files that stub servers in other processes recorded.
struct RecordedObservations {
  std::vector<Observation> observations;
  std::vector<FaultSpan> faults;  // relative to the run's start
};

RecordedObservations ReadAllObservations(const std::vector<std::string>& paths, std::int64_t run_start_us) {
  RecordedObservations all;
  for (const std::string& path : paths) {
    ObservationFile file = ReadObservations(path);
    all.observations.insert(all.observations.end(), file.observations.begin(), file.observations.end());
    for (FaultSpan& fault : file.faults) {
      fault.from_ms -= static_cast<double>(run_start_us - file.started_us) / 1000;
      all.faults.push_back(fault);
    }
  }
  return all;
}

std::string RunName(const LoadCommandOptions& options) {
  if (!options.name.empty()) return options.name;
  return options.scenario.empty() ? "load" : options.scenario;
}

// Inserts the run's number before the extension: "result.json" becomes "result-2.json".
std::string NumberedPath(std::string path, int number) {
  const std::size_t extension_size = std::filesystem::path(path).extension().string().size();
  return path.insert(path.size() - extension_size, "-" + std::to_string(number));
}

int RunLoadCommand(const LoadCommandOptions& options) {
  Interrupt interrupt;
  const Scenario scenario = ReadScenario(options.scenario, options.settings);
  bool all_passed = true;
  for (int number = 1; number <= options.repeat && !interrupt.Requested(); ++number) {
    RunOptions run_options;
    run_options.record = options.record;
    run_options.stop = [&] { return interrupt.Requested(); };
    run_options.progress = PrintProgress;
    const RunRecords run = RunLoad(scenario, run_options);
    RecordedObservations recorded = ReadAllObservations(options.observation_paths, run.start_us);
    std::string name = RunName(options);
    std::string path = options.output;
    if (options.repeat > 1) {
      name += " " + std::to_string(number);
      path = NumberedPath(path, number);
    }
    const bool outcomes_observed = !options.observation_paths.empty();
    const RunResult result = MakeResult(name, scenario, run, recorded.observations, outcomes_observed,
                                        FaultTimeline(std::move(recorded.faults)));
    PrintResult(result, std::cout);
    WriteResult(result, path);
    std::cout << "result: " << path << std::endl;
    all_passed = all_passed && result.valid() && result.summary.violation_count == 0;
  }
  return all_passed ? 0 : 1;
}

}  // namespace

Command AddLoadCommand(CLI::App& parent) {
  auto options = std::make_shared<LoadCommandOptions>();
  CLI::App* command = AddSubcommand(parent, "load", "offers a scenario's messages to running nodes");
  AddOption(command, "--scenario,scenario", options->scenario,
            "a JSON file; its settings may be flags instead");
  AddOption(command, "--record", options->record,
            "file for a trace of the offered messages, which can be replayed");
  AddOption(command, "--observed", options->observation_paths,
            "files that stub servers recorded; with them, final outcomes are counted");
  AddOption(command, "--output", options->output, "the result, a JSON file");
  AddOption(command, "--name", options->name, "name in tables and plots; default: the scenario's file");
  AddOption(command, "--repeat", options->repeat,
            "number of runs, one after another, each with its own result file")
      ->check(CLI::Range(1, 1000));
  AddSettings(*command, SettingNames(ScenarioSchema()), kVariablePrefix, options->settings,
              "Settings of the scenario, which override the file");
  return {command, [options] { return RunLoadCommand(*options); }};
}

}  // namespace sagetally::loadtest
