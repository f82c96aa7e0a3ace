#include "cli/options.h"

#include <CLI/CLI.hpp>
#include <array>
#include <iostream>

#include "cli/flags.h"

namespace sagetally {
namespace {

constexpr int kWrongUsage = 2;

void AddCommon(CLI::App& app, Options& o) {
  const auto add = [&](const char* flag, std::string& to, const char* variable, const char* text) {
    app.add_option(flag, to, text)->envname(variable);
  };
  add("--config", o.config, "BALANCER_CONFIG", "the platform's configuration, a JSON file");
  add("--name", o.name, "BALANCER_NAME", "this node's name; goes before the file");
  add("--listen", o.listen, "BALANCER_LISTEN", "address for clients; goes before the file");
  add("--admin", o.admin, "BALANCER_ADMIN", "address of the operators' door; goes before the file");
  add("--discovery", o.discovery, "BALANCER_DISCOVERY", "address of discovery; goes before the file");
  add("--state", o.state, "BALANCER_STATE", "the folder that lasts; goes before the file");
  add("--node-file", o.node_file, "SAGETALLY_NODE_FILE", "the operator's JSON file; may be absent");
  static const std::map<std::string, LogFormat> formats = {{"text", LogFormat::kText},
                                                           {"json", LogFormat::kJson}};
  static const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::kDebug},
                                                         {"info", LogLevel::kInfo},
                                                         {"warning", LogLevel::kWarning},
                                                         {"error", LogLevel::kError}};
  app.add_option("--log-format", o.log.format, "text or json, one line an event")
      ->envname("SAGETALLY_LOG_FORMAT")
      ->transform(CLI::CheckedTransformer(formats).description(""))
      ->option_text("text|json");
  app.add_option("--log-level", o.log.level, "the least level that is written")
      ->envname("SAGETALLY_LOG_LEVEL")
      ->transform(CLI::CheckedTransformer(levels).description(""))
      ->option_text("debug|info|warning|error");
  // Each leaf of the schema is a flag and a variable.
  AddSettings(app, NodeFileSettingNames(), "SAGETALLY_", o.node_settings,
              "Settings of the operator's file, which go before it");
}

void AddKept(CLI::App& app, DeadLetterOptions& k) {
  CLI::App* kept =
      app.add_subcommand("kept", "undeliverable messages: inspect them, send them again by rule");
  kept->require_subcommand(1);
  kept->fallthrough();
  const auto command = [&](CLI::App* parent, const char* name, const char* text, std::string full) {
    CLI::App* sub = parent->add_subcommand(name, text);
    sub->fallthrough();  // the options of the program may stand behind
    sub->callback([&k, full] { k.command = full; });
    return sub;
  };
  const auto state = [&](CLI::App* sub) {
    sub->add_option("--state", k.state, "the node's state folder")->envname("BALANCER_STATE")->required();
    sub->add_flag("--json", k.as_json, "one JSON value a line instead of a table")->envname("SAGETALLY_JSON");
  };
  const auto filter = [&](CLI::App* sub) {
    sub->add_option("--filter,filter", k.filter, "a condition of the rule language, such as 'age > 1h'")
        ->envname("SAGETALLY_FILTER")
        ->capture_default_str();
  };
  CLI::App* list = command(kept, "list", "a page of kept messages, oldest first", "list");
  state(list), filter(list);
  list->add_option("--limit", k.limit, "messages on a page")
      ->envname("SAGETALLY_LIMIT")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  list->add_option("--after", k.after, "the id at the end of the last page")->envname("SAGETALLY_AFTER");
  CLI::App* show = command(kept, "show", "one message with its whole history", "show");
  state(show);
  show->add_option("id", k.id, "NODE/NUMBER, as list prints it")->envname("SAGETALLY_ID")->required();
  show->add_flag("--body", k.with_body, "print the body too")->envname("SAGETALLY_BODY");
  CLI::App* stats = command(kept, "stats", "counts and sizes", "stats");
  state(stats);
  stats->add_option("--by", k.by, "what to count by")
      ->envname("SAGETALLY_BY")
      ->check(CLI::IsMember({"reason", "class", "destination", "state", "end"}))
      ->capture_default_str();
  CLI::App* exported = command(kept, "export", "matching messages as JSON lines", "export");
  state(exported), filter(exported);
  exported->add_option("--output", k.output, "a file that must not exist; absent: standard output")
      ->envname("SAGETALLY_OUTPUT");
  exported->add_flag("--body", k.with_body, "with the bodies, in base64")->envname("SAGETALLY_BODY");
  CLI::App* dry = command(kept, "try", "what a rule file would do, without doing it", "try");
  state(dry);
  dry->add_option("rules", k.rules, "the rule file")->envname("SAGETALLY_RULES")->required();
  for (const char* action : {"resend", "hold", "drop"}) {
    CLI::App* sub = command(kept, action, "by hand, for all that match; the judge still decides", action);
    state(sub);
    sub->add_option("--filter,filter", k.filter, "a condition of the rule language")
        ->envname("SAGETALLY_FILTER")
        ->required();
    sub->add_flag("--yes", k.yes, "do it; without this only counts are printed")->envname("SAGETALLY_YES");
  }
  CLI::App* rules = kept->add_subcommand("rules", "rule files");
  rules->require_subcommand(1);
  rules->fallthrough();
  CLI::App* check = command(rules, "check", "reads a rule file and says what is wrong", "rules check");
  check->add_option("rules", k.rules, "the rule file")->envname("SAGETALLY_RULES")->required();
}

void AddJournal(CLI::App& app, JournalOptions& j) {
  CLI::App* journal = app.add_subcommand("journal", "the journal of a running or a stopped node");
  journal->require_subcommand(1);
  journal->fallthrough();
  const auto command = [&](const char* name, const char* text) {
    CLI::App* sub = journal->add_subcommand(name, text);
    sub->fallthrough();
    sub->callback([&j, name] { j.command = name; });
    sub->add_option("--state", j.state, "the node's state folder")->envname("BALANCER_STATE")->required();
    sub->add_flag("--json", j.as_json, "JSON instead of a table")->envname("SAGETALLY_JSON");
    return sub;
  };
  command("verify", "reads all of it; exit code 1 if it is damaged");
  command("stats", "counts and sizes");
  CLI::App* show = command("show", "the messages that are held or whose end has still to be told");
  show->add_option("--limit", j.limit, "messages shown")
      ->envname("SAGETALLY_LIMIT")
      ->check(CLI::Range(1, 100'000'000))
      ->capture_default_str();
  show->add_flag("--all", j.all, "remembered ends too")->envname("SAGETALLY_ALL");
  CLI::App* snapshot = command("snapshot", "copies it as it stands, while its node runs");
  snapshot->add_option("--output", j.output, "a folder to make")->envname("SAGETALLY_OUTPUT")->required();
  CLI::App* restore = command("restore", "makes a snapshot the journal of a stopped node");
  restore->add_option("snapshot", j.snapshot, "the snapshot's folder")
      ->envname("SAGETALLY_SNAPSHOT")
      ->required();
  restore->add_flag("--replace", j.replace, "in place of the journal that is there")
      ->envname("SAGETALLY_REPLACE");
  restore->add_flag("--exact", j.exact, "nothing has happened since: its node was stopped before")
      ->envname("SAGETALLY_EXACT");
  restore->add_flag("--damaged", j.damaged, "although the snapshot is damaged")->envname("SAGETALLY_DAMAGED");
}

void AddOperate(CLI::App& app, CommandLine& line) {
  static constexpr std::array<std::array<const char*, 3>, 4> kCalls = {
      {{"status", "STATUS", "whether the process behind --admin is ready to serve"},
       {"metrics", "METRICS", "its figures"},
       {"pause", "PAUSE", "empties it: no new messages, what is held goes on"},
       {"resume", "RESUME", "back to work"}}};
  for (const auto& [name, call, text] : kCalls) {
    app.add_subcommand(name, text)->fallthrough()->callback([&line, call] {
      line.command = CommandLine::Command::kAdmin;
      line.admin = call;
    });
  }
}

void AddVersion(CLI::App& app) {
  app.set_version_flag("--version", std::string("sagetally ") + SAGETALLY_VERSION);
  for (CLI::App* sub : app.get_subcommands({})) AddVersion(*sub);
}

}  // namespace

Config Options::ReadConfiguration(ConfigRequirements needs) const {
  const std::map<std::string, std::string> given = {
      {"BALANCER_CONFIG", config}, {"BALANCER_NAME", name},           {"BALANCER_LISTEN", listen},
      {"BALANCER_ADMIN", admin},   {"BALANCER_DISCOVERY", discovery}, {"BALANCER_STATE", state}};
  return ReadConfig(
      [&](const char* variable) -> const char* {
        const auto at = given.find(variable);
        return at == given.end() || at->second.empty() ? nullptr : at->second.c_str();
      },
      needs);
}

CommandLine ParseCommandLine(int argc, const char* const* argv) {
  CommandLine line;
  CLI::App app{"sagetally: delivers messages to partner systems, each with exactly one end"};
  app.require_subcommand(0, 1);
  AddCommon(app, line.options);
  // The options may stand on either side of these words; `sagetally` alone serves.
  app.add_subcommand("serve", "serves until SIGTERM (as without a sub-command)")->fallthrough();
  app.add_subcommand("check-config", "reads all configuration, says what is wrong, and ends")
      ->fallthrough()
      ->callback([&] { line.command = CommandLine::Command::kCheckConfig; });
  AddOperate(app, line);
  AddKept(app, line.dead_letter);
  AddJournal(app, line.journal);
  AddVersion(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    line.command = CommandLine::Command::kNone;
    line.exit_code = app.exit(error) == 0 ? 0 : kWrongUsage;
    return line;
  }
  if (line.command == CommandLine::Command::kAdmin && line.options.admin.empty()) {
    std::cerr << "--admin (BALANCER_ADMIN): expected the address of the operators' door\n";
    line.command = CommandLine::Command::kNone;
    line.exit_code = kWrongUsage;
    return line;
  }
  if (!line.journal.command.empty()) line.command = CommandLine::Command::kJournal;
  if (!line.dead_letter.command.empty()) line.command = CommandLine::Command::kDeadLetter;
  return line;
}

}  // namespace sagetally
