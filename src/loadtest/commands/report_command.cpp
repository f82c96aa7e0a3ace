// `sagetally-loadtest report` and `sagetally-loadtest compare`: read result files and report or compare them.
#include <iostream>
#include <memory>

#include "loadtest/commands/command.h"
#include "loadtest/report/comparison.h"
#include "loadtest/report/report.h"
#include "loadtest/report/result_file.h"

namespace sagetally::loadtest {
namespace {

struct ReportCommandOptions {
  std::vector<std::string> runs;
  std::string output = "report";
};

struct CompareCommandOptions {
  std::vector<std::string> runs;
  std::vector<std::string> other_runs;
  bool json = false;
};

std::vector<RunResult> ReadResults(const std::vector<std::string>& paths) {
  std::vector<RunResult> results;
  results.reserve(paths.size());
  for (const std::string& path : paths) results.push_back(ReadResult(path));
  return results;
}

int RunReportCommand(const ReportCommandOptions& options) {
  WriteReport(ReadResults(options.runs), options.output);
  std::cout << "report: " << options.output << "/report.html\n";
  return 0;
}

int RunCompareCommand(const CompareCommandOptions& options) {
  const nlohmann::json comparison = Compare(ReadResults(options.runs), ReadResults(options.other_runs));
  if (options.json) {
    std::cout << comparison.dump(1) << "\n";
  } else {
    PrintComparison(comparison, std::cout);
  }
  return 0;
}

}  // namespace

Command AddReportCommand(CLI::App& parent) {
  auto options = std::make_shared<ReportCommandOptions>();
  CLI::App* command =
      AddSubcommand(parent, "report", "writes an HTML page, plots and JSON for one or more runs");
  AddOption(command, "runs", options->runs, "results of load or try")->required();
  AddOption(command, "--output", options->output, "folder for the report");
  return {command, [options] { return RunReportCommand(*options); }};
}

Command AddCompareCommand(CLI::App& parent) {
  auto options = std::make_shared<CompareCommandOptions>();
  CLI::App* command =
      AddSubcommand(parent, "compare", "compares two sets of runs by ratios with 95% intervals");
  AddOption(command, "runs", options->runs, "results of the first set")->required();
  AddOption(command, "--with", options->other_runs, "results of the second set")->required();
  command->add_flag("--json", options->json, "print JSON")
      ->envname(EnvironmentVariableFor(kVariablePrefix, "json"));
  return {command, [options] { return RunCompareCommand(*options); }};
}

}  // namespace sagetally::loadtest
