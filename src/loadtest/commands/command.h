// The subcommands of sagetally-loadtest. Each Add... function adds one to its parent and returns what runs
// it; cli.cpp calls that of the command that was given. All runs return the program's exit code: 0, or 1 for
// a violated rule or a run that is not valid. They throw std::runtime_error for a file that can't be used.
#ifndef SAGETALLY_SRC_LOADTEST_COMMANDS_COMMAND_H_
#define SAGETALLY_SRC_LOADTEST_COMMANDS_COMMAND_H_

#include <CLI/CLI.hpp>
#include <functional>
#include <string>

#include "cli/flags.h"

namespace sagetally::loadtest {

// Of all environment variables that set an option.
inline constexpr char kVariablePrefix[] = "SAGETALLY_LAB_";
inline constexpr char kVersion[] = "sagetally-loadtest " SAGETALLY_VERSION;

struct Command {
  CLI::App* app = nullptr;  // owned by its parent
  std::function<int()> run;
};

Command AddDemoCommand(CLI::App& parent);
Command AddLoadCommand(CLI::App& parent);
Command AddLimitCommand(CLI::App& parent);
Command AddStubCommand(CLI::App& parent);
Command AddTraceImportCommand(CLI::App& parent);
Command AddSoakCommand(CLI::App& parent);
Command AddReportCommand(CLI::App& parent);
Command AddCompareCommand(CLI::App& parent);

inline CLI::App* AddSubcommand(CLI::App& parent, const std::string& name, const std::string& description) {
  CLI::App* command = parent.add_subcommand(name, description);
  command->set_version_flag("--version", std::string(kVersion));
  return command;
}

// `names`: CLI11's, such as "--scenario,scenario". An option whose first name is a flag can be set by a
// variable too, and its help shows the default.
template <typename T>
CLI::Option* AddOption(CLI::App* command, const std::string& names, T& value,
                       const std::string& description) {
  const std::string first_name = names.substr(0, names.find(','));
  CLI::Option* option = command->add_option(names, value, description);
  if (!first_name.starts_with("--")) return option;
  return option->envname(EnvironmentVariableFor(kVariablePrefix, first_name.substr(2)))
      ->capture_default_str();
}

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_COMMANDS_COMMAND_H_
