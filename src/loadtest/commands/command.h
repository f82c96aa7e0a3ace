// The subcommands of sagetally-loadtest. Each Add...Command() adds one subcommand to its parent and returns
// the function that runs it; cli.cpp calls the function of the subcommand that was given. That function
// returns the program's exit code, which is 0, or 1 for a violated rule or a run that is not valid. It throws
// std::runtime_error for a file that can't be used.
#ifndef SAGETALLY_SRC_LOADTEST_COMMANDS_COMMAND_H_
#define SAGETALLY_SRC_LOADTEST_COMMANDS_COMMAND_H_

#include <CLI/CLI.hpp>
#include <functional>
#include <string>

#include "cli/flags.h"

namespace sagetally::loadtest {

// The prefix of the environment variables that set options.
inline constexpr char kVariablePrefix[] = "SAGETALLY_LAB_";
inline constexpr char kVersion[] = "sagetally-loadtest " SAGETALLY_VERSION;

// A subcommand and the function that runs it.
struct Command {
  CLI::App* app = nullptr;   // owned by its parent
  std::function<int()> run;  // returns the exit code; call it after the command line has been parsed
};

Command AddDemoCommand(CLI::App& parent);
Command AddLoadCommand(CLI::App& parent);
Command AddLimitCommand(CLI::App& parent);
Command AddStubCommand(CLI::App& parent);
Command AddTraceImportCommand(CLI::App& parent);
Command AddSoakCommand(CLI::App& parent);
Command AddReportCommand(CLI::App& parent);
Command AddCompareCommand(CLI::App& parent);

// Adds a subcommand with a --version flag.
inline CLI::App* AddSubcommand(CLI::App& parent, const std::string& name, const std::string& description) {
  CLI::App* command = parent.add_subcommand(name, description);
  command->set_version_flag("--version", std::string(kVersion));
  return command;
}

// Adds an option that sets `value`. `names` is in the form of CLI11, such as "--scenario,scenario". If the
// first name is a flag, an environment variable can set the option too, and the help shows its default.
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
