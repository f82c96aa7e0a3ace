// `sagetally-loadtest trace import`: converts recorded traces.
#include <fstream>
#include <iostream>
#include <memory>

#include "loadtest/commands/command.h"
#include "loadtest/load/import.h"
#include "loadtest/load/trace.h"

namespace sagetally::loadtest {
namespace {

struct ImportCommandOptions {
  std::string input;
  std::string output = "trace.jsonl";
  std::string format = "csv";
  std::map<std::string, std::string> columns;  // the trace's column or key names, by their content
  ImportOptions import;
};

TraceFormat FormatFromName(const std::string& name) {
  if (name == "jsonl") return TraceFormat::kJsonLines;
  if (name == "combined") return TraceFormat::kCombined;
  return TraceFormat::kCsv;
}

// The option for the column that holds `content`. Throws std::runtime_error for an unknown content.
std::string& ColumnFor(const std::string& content, TraceColumns& columns) {
  if (content == "time") return columns.time;
  if (content == "class") return columns.message_class;
  if (content == "destination") return columns.destination;
  if (content == "bytes") return columns.bytes;
  if (content == "caller") return columns.client;
  throw std::runtime_error("--column: expected one of time, class, destination, bytes, caller, found '" +
                           content + "'");
}

void PrintImport(const std::string& path, const ImportResult& result) {
  std::cout << path << ": " << result.line_count << " lines, " << result.messages.size() << " messages, "
            << result.malformed_count << " malformed\n";
  for (const MalformedLine& malformed : result.malformed_lines) {
    std::cout << path << ":" << malformed.line << ":" << malformed.column << ": expected "
              << malformed.expected << "\n";
  }
  if (result.out_of_order_lines > 0) {
    std::cout << path << ": the time goes back in " << result.out_of_order_lines << " lines, by up to "
              << result.max_backward_s << " s; sorted\n";
  }
}

int RunImportCommand(const ImportCommandOptions& options) {
  ImportOptions import = options.import;
  import.format = FormatFromName(options.format);
  for (const auto& [content, name] : options.columns) ColumnFor(content, import.columns) = name;
  std::ifstream input(options.input);
  if (!input) throw std::runtime_error(options.input + ": can't be read");
  ImportResult result;
  try {
    result = ImportTrace(input, import);
  } catch (const std::exception& error) {
    throw std::runtime_error(options.input + ": " + error.what());
  }
  TraceWriter writer(options.output, result.classes);
  for (const PlannedMessage& message : result.messages) writer.Write(message);
  writer.Close();
  PrintImport(options.input, result);
  std::cout << "trace: " << options.output << "\n";
  return 0;
}

}  // namespace

Command AddTraceImportCommand(CLI::App& parent) {
  auto options = std::make_shared<ImportCommandOptions>();
  ImportOptions& import = options->import;
  CLI::App* trace = AddSubcommand(parent, "trace", "recorded traces");
  trace->require_subcommand(1);
  CLI::App* command =
      AddSubcommand(*trace, "import", "converts a recorded trace to the format that load replays");
  AddOption(command, "in", options->input, "the trace")->required();
  AddOption(command, "--output", options->output, "file for the converted trace");
  AddOption(command, "--format", options->format, "csv, jsonl or combined (access logs)")
      ->check(CLI::IsMember({"csv", "jsonl", "combined"}));
  command->add_option(
      "--column", options->columns,
      "CONTENT NAME: column or key NAME holds CONTENT, one of time, class, destination, bytes, caller");
  AddOption(command, "--time-unit", import.time_unit_s, "seconds of one unit of plain numbers")
      ->check(CLI::PositiveNumber);
  AddOption(command, "--time-scale", import.time_scale,
            "factor for all times; 2 makes the trace twice as slow")
      ->check(CLI::PositiveNumber);
  AddOption(command, "--rate-scale", import.rate_scale,
            "factor for the rate; 0.5 draws half of the messages, 3 takes each three times")
      ->check(CLI::Range(1e-6, 1000.0));
  AddOption(command, "--from", import.from_s, "seconds of the scaled trace that are cut off its start")
      ->check(CLI::NonNegativeNumber);
  AddOption(command, "--to", import.to_s, "seconds of the scaled trace at which it is cut; 0: its end")
      ->check(CLI::NonNegativeNumber);
  AddOption(command, "--classes", import.classes,
            "known classes; messages of other classes get the first of them")
      ->delimiter(',');
  AddOption(command, "--destinations", import.destinations,
            "number of destinations to hash names into; 0 if destinations are numbers")
      ->check(CLI::Range(0, 100000));
  AddOption(command, "--bytes", import.bytes, "body size of messages for which the trace has none")
      ->check(CLI::Range(1, 65536));
  AddOption(command, "--seed", import.seed, "seed of random draws and of the hash that hides callers");
  command->add_flag("--strict", import.strict, "fail at the first malformed line")
      ->envname(EnvironmentVariableFor(kVariablePrefix, "strict"));
  return {command, [options] { return RunImportCommand(*options); }};
}

}  // namespace sagetally::loadtest
