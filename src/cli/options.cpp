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
  add("--name", options.name, "BALANCER_NAME", "this node's name; overrides the file");
  add("--listen", options.listen, "BALANCER_LISTEN", "address for clients; overrides the file");
  add("--admin", options.admin, "BALANCER_ADMIN", "address of the admin server; overrides the file");
  add("--discovery", options.discovery, "BALANCER_DISCOVERY", "address of discovery; overrides the file");
  add("--state", options.state, "BALANCER_STATE", "the persistent state folder; overrides the file");
  add("--node-file", options.node_file, "SAGETALLY_NODE_FILE", "the operator's JSON file; may be absent");
}

void AddLogOptions(CLI::App& app, LogOptions& log) {
  const std::map<std::string, LogFormat> formats = {{"text", LogFormat::kText}, {"json", LogFormat::kJson}};
  const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::kDebug},
                                                  {"info", LogLevel::kInfo},
                                                  {"warning", LogLevel::kWarning},
                                                  {"error", LogLevel::kError}};
  app.add_option("--log-format", log.format, "text or json, one line per event")
      ->envname("SAGETALLY_LOG_FORMAT")
      ->transform(CLI::CheckedTransformer(formats).description(""))
      ->option_text("text|json");
  app.add_option("--log-level", log.level, "the lowest level that is written")
      ->envname("SAGETALLY_LOG_LEVEL")
      ->transform(CLI::CheckedTransformer(levels).description(""))
      ->option_text("debug|info|warning|error");
}

void AddServingCommands(CLI::App& app, CommandLine& line) {
  // The options may stand before or after the subcommand. Without a subcommand `sagetally` serves.
  app.add_subcommand("serve", "serves until SIGTERM (the default without a subcommand)")->fallthrough();
  app.add_subcommand("check-config", "reads all configuration, reports errors and exits")
      ->fallthrough()
      ->callback([&line] { line.command = CommandLine::Command::kCheckConfig; });
}

struct AdminSubcommand {
  const char* name;
  AdminCommand command;
  const char* description;
};
constexpr AdminSubcommand kAdminSubcommands[] = {
    {"status", AdminCommand::kStatus, "reports whether the process at --admin is ready to serve"},
    {"metrics", AdminCommand::kMetrics, "prints the metrics of the process"},
    {"pause", AdminCommand::kPause,
     "starts a drain: no new messages are accepted, pending ones are completed"},
    {"resume", AdminCommand::kResume, "ends a drain: new messages are accepted again"},
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

// Adds --version to the program and, recursively, to each subcommand.
void AddVersion(CLI::App& app) {
  app.set_version_flag("--version", std::string("sagetally ") + SAGETALLY_VERSION);
  for (CLI::App* subcommand : app.get_subcommands({})) AddVersion(*subcommand);
}

void AddAll(CLI::App& app, CommandLine& line) {
  app.require_subcommand(0, 1);
  AddPlatformOptions(app, line.options);
  AddLogOptions(app, line.options.log);
  // Each setting of the schema of node.json is a flag and an environment variable.
  AddSettings(app, NodeFileSettingNames(), "SAGETALLY_", line.options.node_settings,
              "Settings that override the operator's file");
  AddServingCommands(app, line);
  AddAdminCommands(app, line);
  AddDeadLetterCommands(app, line.dead_letter);
  AddJournalCommands(app, line.journal);
  AddVersion(app);
}

}  // namespace

Config Options::ReadConfiguration(ConfigRequirements requirements) const {
  const std::map<std::string, std::string> given = {
      {"BALANCER_CONFIG", config}, {"BALANCER_NAME", name},           {"BALANCER_LISTEN", listen},
      {"BALANCER_ADMIN", admin},   {"BALANCER_DISCOVERY", discovery}, {"BALANCER_STATE", state}};
  return ReadConfig(
      [&given](const char* variable) -> const char* {
        const auto found = given.find(variable);
        if (found == given.end() || found->second.empty()) return nullptr;
        return found->second.c_str();
      },
      requirements);
}

CommandLine ParseCommandLine(int argc, const char* const* argv) {
  CommandLine line;
  CLI::App app{"sagetally: delivers messages to partner systems, each with exactly one final status"};
  AddAll(app, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    line.command = CommandLine::Command::kNone;
    line.exit_code = app.exit(error) == 0 ? 0 : kExitUsage;
    return line;
  }
  if (line.command == CommandLine::Command::kAdmin && line.options.admin.empty()) {
    std::cerr << "--admin (BALANCER_ADMIN): expected the address of the admin server\n";
    line.command = CommandLine::Command::kNone;
    line.exit_code = kExitUsage;
    return line;
  }
  if (line.journal.command) line.command = CommandLine::Command::kJournal;
  if (line.dead_letter.command) line.command = CommandLine::Command::kDeadLetter;
  return line;
}

}  // namespace sagetally
