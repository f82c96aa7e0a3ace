#include "cli/subcommands.h"

namespace sagetally {
namespace {

constexpr int kMaxShowLimit = 100'000'000;

CLI::App* AddCommand(CLI::App* journal, const char* name, const char* description, JournalCommand command,
                     JournalOptions& options) {
  CLI::App* subcommand = journal->add_subcommand(name, description);
  subcommand->fallthrough();  // the program's options may stand behind
  subcommand->callback([&options, command] { options.command = command; });
  subcommand->add_option("--state", options.state, "the node's state folder")
      ->envname("BALANCER_STATE")
      ->required();
  subcommand->add_flag("--json", options.as_json, "JSON instead of a table")->envname("SAGETALLY_JSON");
  return subcommand;
}

void AddShow(CLI::App* journal, JournalOptions& options) {
  CLI::App* show = AddCommand(journal, "show", "the messages that are held or whose end has still to be told",
                              JournalCommand::kShow, options);
  show->add_option("--limit", options.limit, "messages shown")
      ->envname("SAGETALLY_LIMIT")
      ->check(CLI::Range(1, kMaxShowLimit))
      ->capture_default_str();
  show->add_flag("--all", options.all, "remembered ends too")->envname("SAGETALLY_ALL");
}

void AddSnapshot(CLI::App* journal, JournalOptions& options) {
  CLI::App* snapshot = AddCommand(journal, "snapshot", "copies it as it stands, while its node runs",
                                  JournalCommand::kSnapshot, options);
  snapshot->add_option("--output", options.output, "a folder to make")
      ->envname("SAGETALLY_OUTPUT")
      ->required();
}

void AddRestore(CLI::App* journal, JournalOptions& options) {
  CLI::App* restore = AddCommand(journal, "restore", "makes a snapshot the journal of a stopped node",
                                 JournalCommand::kRestore, options);
  restore->add_option("snapshot", options.snapshot, "the snapshot's folder")
      ->envname("SAGETALLY_SNAPSHOT")
      ->required();
  restore->add_flag("--replace", options.replace, "in place of the journal that is there")
      ->envname("SAGETALLY_REPLACE");
  restore->add_flag("--exact", options.exact, "nothing has happened since: its node was stopped before")
      ->envname("SAGETALLY_EXACT");
  restore->add_flag("--damaged", options.damaged, "although the snapshot is damaged")
      ->envname("SAGETALLY_DAMAGED");
}

}  // namespace

void AddJournalCommands(CLI::App& app, JournalOptions& options) {
  CLI::App* journal = app.add_subcommand("journal", "the journal of a running or a stopped node");
  journal->require_subcommand(1);
  journal->fallthrough();
  AddCommand(journal, "verify", "reads all of it; exit code 1 if it is damaged", JournalCommand::kVerify,
             options);
  AddCommand(journal, "stats", "counts and sizes", JournalCommand::kStats, options);
  AddShow(journal, options);
  AddSnapshot(journal, options);
  AddRestore(journal, options);
}

}  // namespace sagetally
