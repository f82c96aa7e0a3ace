#include "cli/options.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <map>

#include "cli/flags.h"
#include "cli/subcommands.h"

namespace sagetally {
namespace {

constexpr int kExitUsage = 2;

void AddPlatformOptions(CLI::App& app, Options& options) {
  const auto add = [&app](const char* flag, std::string& value, const char* variable, const char* text) {
    app.add_option(flag, value, text)->envname(variable);
  };
  add("--config", options.config, "BALANCER_CONFIG", "the platform's configuration, a JSON file");
  add("--name", options.name, "BALANCER_NAME", "this node's name; goes before the file");
  add("--listen", options.listen, "BALANCER_LISTEN", "address for clients; goes before the file");
  add("--admin", options.admin, "BALANCER_ADMIN", "address of the operators' door; goes before the file");
  add("--discovery", options.discovery, "BALANCER_DISCOVERY", "address of discovery; goes before the file");
  add("--state", options.state, "BALANCER_STATE", "the folder that lasts; goes before the file");
  add("--node-file", options.node_file, "SAGETALLY_NODE_FILE", "the operator's JSON file; may be absent");
}

void AddLogOptions(CLI::App& app, LogOptions& log) {
  const std::map<std::string, LogFormat> formats = {{"text", LogFormat::kText}, {"json", LogFormat::kJson}};
  const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::kDebug},
                                                  {"info", LogLevel::kInfo},
                                                  {"warning", LogLevel::kWarning},
                                                  {"error", LogLevel::kError}};
  app.add_option("--log-format", log.format, "text or json, one line an event")
      ->envname("SAGETALLY_LOG_FORMAT")
      ->transform(CLI::CheckedTransformer(formats).description(""))
      ->option_text("text|json");
  app.add_option("--log-level", log.level, "the least level that is written")
      ->envname("SAGETALLY_LOG_LEVEL")
      ->transform(CLI::CheckedTransformer(levels).description(""))
      ->option_text("debug|info|warning|error");
}

void AddServingCommands(CLI::App& app, CommandLine& line) {
  // The options may stand on either side of these words; `sagetally` alone serves.
  app.add_subcommand("serve", "serves until SIGTERM (as without a sub-command)")->fallthrough();
  app.add_subcommand("check-config", "reads all configuration, says what is wrong, and ends")
      ->fallthrough()
      ->callback([&line] { line.command = CommandLine::Command::kCheckConfig; });
}

struct AdminSubcommand {
  const char* name;
  AdminCommand command;
  const char* description;
};
constexpr AdminSubcommand kAdminSubcommands[] = {
    {"status", AdminCommand::kStatus, "whether the process behind --admin is ready to serve"},
    {"metrics", AdminCommand::kMetrics, "its figures"},
    {"pause", AdminCommand::kPause, "empties it: no new messages, what is held goes on"},
    {"resume", AdminCommand::kResume, "back to work"},
};

void AddAdminCommands(CLI::App& app, CommandLine& line) {
  for (const AdminSubcommand& subcommand : kAdminSubcommands) {
    app.add_subcommand(subcommand.name, subcommand.description)
        ->fallthrough()
        ->callback([&line, command = subcommand.command] {
          line.command = CommandLine::Command::kAdmin;
          line.admin = command;
        });
  }
}

// To the program and each subcommand.
void AddVersion(CLI::App& app) {
  app.set_version_flag("--version", std::string("sagetally ") + SAGETALLY_VERSION);
  for (CLI::App* subcommand : app.get_subcommands({})) AddVersion(*subcommand);
}

void AddAll(CLI::App& app, CommandLine& line) {
  app.require_subcommand(0, 1);
  AddPlatformOptions(app, line.options);
  AddLogOptions(app, line.options.log);
  // Each leaf of the schema is a flag and a variable.
  AddSettings(app, NodeFileSettingNames(), "SAGETALLY_", line.options.node_settings,
              "Settings of the operator's file, which go before it");
  AddServingCommands(app, line);
  AddAdminCommands(app, line);
  AddDeadLetterCommands(app, line.dead_letter);
  AddJournalCommands(app, line.journal);
  AddVersion(app);
}

}  // namespace

Config Options::ReadConfiguration(ConfigRequirements needs) const {
  const std::map<std::string, std::string> given = {
      {"BALANCER_CONFIG", config}, {"BALANCER_NAME", name},           {"BALANCER_LISTEN", listen},
      {"BALANCER_ADMIN", admin},   {"BALANCER_DISCOVERY", discovery}, {"BALANCER_STATE", state}};
  return ReadConfig(
      [&given](const char* variable) -> const char* {
        const auto found = given.find(variable);
        if (found == given.end() || found->second.empty()) return nullptr;
        return found->second.c_str();
      },
      needs);
}

CommandLine ParseCommandLine(int argc, const char* const* argv) {
  CommandLine line;
  CLI::App app{"sagetally: delivers messages to partner systems, each with exactly one end"};
  AddAll(app, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    line.command = CommandLine::Command::kNone;
    line.exit_code = app.exit(error) == 0 ? 0 : kExitUsage;
    return line;
  }
  if (line.command == CommandLine::Command::kAdmin && line.options.admin.empty()) {
    std::cerr << "--admin (BALANCER_ADMIN): expected the address of the operators' door\n";
    line.command = CommandLine::Command::kNone;
    line.exit_code = kExitUsage;
    return line;
  }
  if (line.journal.command) line.command = CommandLine::Command::kJournal;
  if (line.dead_letter.command) line.command = CommandLine::Command::kDeadLetter;
  return line;
}

}  // namespace sagetally
