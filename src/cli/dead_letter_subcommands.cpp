#include "cli/subcommands.h"

namespace sagetally {
namespace {

constexpr int kMaxListLimit = 1000;  // messages on a page

CLI::App* AddCommand(CLI::App* parent, const char* name, const char* description, DeadLetterCommand command,
                     DeadLetterOptions& options) {
  CLI::App* subcommand = parent->add_subcommand(name, description);
  subcommand->fallthrough();  // the program's options may follow the subcommand
  subcommand->callback([&options, command] { options.command = command; });
  return subcommand;
}

void AddStoreOptions(CLI::App* subcommand, DeadLetterOptions& options) {
  subcommand->add_option("--state", options.state, "the node's state folder")
      ->envname("BALANCER_STATE")
      ->required();
  subcommand->add_flag("--json", options.as_json, "one JSON value per line instead of a table")
      ->envname("SAGETALLY_JSON");
}

void AddFilter(CLI::App* subcommand, DeadLetterOptions& options) {
  subcommand
      ->add_option("--filter,filter", options.filter, "a condition of the rule language, such as 'age > 1h'")
      ->envname("SAGETALLY_FILTER")
      ->capture_default_str();
}

void AddList(CLI::App* kept, DeadLetterOptions& options) {
  CLI::App* list =
      AddCommand(kept, "list", "a page of dead letters, oldest first", DeadLetterCommand::kList, options);
  AddStoreOptions(list, options);
  AddFilter(list, options);
  list->add_option("--limit", options.limit, "messages on a page")
      ->envname("SAGETALLY_LIMIT")
      ->check(CLI::Range(1, kMaxListLimit))
      ->capture_default_str();
  list->add_option("--after", options.after, "the last id of the previous page")->envname("SAGETALLY_AFTER");
}

void AddShow(CLI::App* kept, DeadLetterOptions& options) {
  CLI::App* show =
      AddCommand(kept, "show", "one dead letter with all its attempts", DeadLetterCommand::kShow, options);
  AddStoreOptions(show, options);
  show->add_option("id", options.id, "NODE/NUMBER, as list prints it")->envname("SAGETALLY_ID")->required();
  show->add_flag("--body", options.with_body, "print the body too")->envname("SAGETALLY_BODY");
}

void AddStats(CLI::App* kept, DeadLetterOptions& options) {
  CLI::App* stats = AddCommand(kept, "stats", "counts and sizes", DeadLetterCommand::kStats, options);
  AddStoreOptions(stats, options);
  stats->add_option("--by", options.by, "the field by which messages are counted")
      ->envname("SAGETALLY_BY")
      ->check(CLI::IsMember({"reason", "class", "destination", "state", "end"}))
      ->capture_default_str();
}

void AddExport(CLI::App* kept, DeadLetterOptions& options) {
  CLI::App* exported =
      AddCommand(kept, "export", "matching messages as JSON lines", DeadLetterCommand::kExport, options);
  AddStoreOptions(exported, options);
  AddFilter(exported, options);
  exported
      ->add_option("--output", options.output,
                   "the file to create, which must not exist; default: standard output")
      ->envname("SAGETALLY_OUTPUT");
  exported->add_flag("--body", options.with_body, "include the bodies, in base64")->envname("SAGETALLY_BODY");
}

void AddRulesFile(CLI::App* subcommand, DeadLetterOptions& options) {
  subcommand->add_option("rules", options.rules, "the rule file")->envname("SAGETALLY_RULES")->required();
}

void AddTry(CLI::App* kept, DeadLetterOptions& options) {
  CLI::App* dry_run =
      AddCommand(kept, "try", "dry run: shows what a rule file would do", DeadLetterCommand::kTry, options);
  AddStoreOptions(dry_run, options);
  AddRulesFile(dry_run, options);
}

void AddAction(CLI::App* kept, const char* name, DeadLetterCommand command, DeadLetterOptions& options) {
  CLI::App* action = AddCommand(
      kept, name, "manual action on all matching messages; resend skips messages that may not be redriven",
      command, options);
  AddStoreOptions(action, options);
  action->add_option("--filter,filter", options.filter, "a condition of the rule language")
      ->envname("SAGETALLY_FILTER")
      ->required();
  action->add_flag("--yes", options.yes, "apply the action; without this flag only counts are printed")
      ->envname("SAGETALLY_YES");
}

void AddRules(CLI::App* kept, DeadLetterOptions& options) {
  CLI::App* rules = kept->add_subcommand("rules", "rule files");
  rules->require_subcommand(1);
  rules->fallthrough();
  CLI::App* check = AddCommand(rules, "check", "checks a rule file and reports errors",
                               DeadLetterCommand::kCheckRules, options);
  AddRulesFile(check, options);
}

}  // namespace

void AddDeadLetterCommands(CLI::App& app, DeadLetterOptions& options) {
  CLI::App* kept = app.add_subcommand("kept", "dead letters: inspect them and redrive them by rule");
  kept->require_subcommand(1);
  kept->fallthrough();
  AddList(kept, options);
  AddShow(kept, options);
  AddStats(kept, options);
  AddExport(kept, options);
  AddTry(kept, options);
  AddAction(kept, "resend", DeadLetterCommand::kResend, options);
  AddAction(kept, "hold", DeadLetterCommand::kHold, options);
  AddAction(kept, "drop", DeadLetterCommand::kDrop, options);
  AddRules(kept, options);
}

}  // namespace sagetally
