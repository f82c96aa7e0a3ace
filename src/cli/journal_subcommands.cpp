#include "cli/subcommands.h"

namespace sagetally {
namespace {

constexpr int kMaxShowLimit = 100'000'000;  // messages

CLI::App* AddCommand(CLI::App* journal, const char* name, const char* description, JournalCommand command,
                     JournalOptions& options) {
  CLI::App* subcommand = journal->add_subcommand(name, description);
  subcommand->fallthrough();  // the program's options may follow the subcommand
  subcommand->callback([&options, command] { options.command = command; });
  subcommand->add_option("--state", options.state, "the node's state folder")
      ->envname("BALANCER_STATE")
      ->required();
  subcommand->add_flag("--json", options.as_json, "JSON instead of a table")->envname("SAGETALLY_JSON");
  return subcommand;
}

void AddShow(CLI::App* journal, JournalOptions& options) {
  CLI::App* show =
      AddCommand(journal, "show", "pending messages, and completed ones whose notification is outstanding",
                 JournalCommand::kShow, options);
  show->add_option("--limit", options.limit, "messages shown")
      ->envname("SAGETALLY_LIMIT")
      ->check(CLI::Range(1, kMaxShowLimit))
      ->capture_default_str();
  show->add_flag("--all", options.all, "also completed messages that the journal retains")
      ->envname("SAGETALLY_ALL");
}

void AddSnapshot(CLI::App* journal, JournalOptions& options) {
  CLI::App* snapshot = AddCommand(journal, "snapshot", "copies the journal; its node may keep running",
                                  JournalCommand::kSnapshot, options);
  snapshot->add_option("--output", options.output, "the folder to create")
      ->envname("SAGETALLY_OUTPUT")
      ->required();
}

void AddRestore(CLI::App* journal, JournalOptions& options) {
  CLI::App* restore = AddCommand(journal, "restore", "installs a snapshot as the journal of a stopped node",
                                 JournalCommand::kRestore, options);
  restore->add_option("snapshot", options.snapshot, "the snapshot's folder")
      ->envname("SAGETALLY_SNAPSHOT")
      ->required();
  restore->add_flag("--replace", options.replace, "replace the journal that already exists")
      ->envname("SAGETALLY_REPLACE");
  restore
      ->add_flag("--exact", options.exact,
                 "the node was stopped before the snapshot, so the journal has not changed since")
      ->envname("SAGETALLY_EXACT");
  restore->add_flag("--damaged", options.damaged, "restore the snapshot even if it is damaged")
      ->envname("SAGETALLY_DAMAGED");
}

}  // namespace

void AddJournalCommands(CLI::App& app, JournalOptions& options) {
  CLI::App* journal = app.add_subcommand("journal", "the journal of a running or a stopped node");
  journal->require_subcommand(1);
  journal->fallthrough();
  AddCommand(journal, "verify", "reads the whole journal; exit code 1 if it is damaged",
             JournalCommand::kVerify, options);
  AddCommand(journal, "stats", "counts and sizes", JournalCommand::kStats, options);
  AddShow(journal, options);
  AddSnapshot(journal, options);
  AddRestore(journal, options);
}

}  // namespace sagetally
