// The command line of `sagetally`: flags, environment variables and subcommands, parsed with CLI11. Used by
// the program's main function before any thread starts.
#ifndef SAGETALLY_SRC_CLI_OPTIONS_H_
#define SAGETALLY_SRC_CLI_OPTIONS_H_

#include <optional>
#include <string>

#include "admin/admin_request.h"
#include "config/config.h"
#include "config/node_file.h"
#include "logging/logger.h"

namespace sagetally {

// The options of the program, which every subcommand accepts.
struct Options {
  // Each of these is set by a flag or an environment variable: BALANCER_CONFIG, _NAME, _LISTEN, _ADMIN,
  // _DISCOVERY, _STATE. An empty string means that it is not set.
  std::string config;
  std::string name;
  std::string listen;
  std::string admin;
  std::string discovery;
  std::string state;
  std::string node_file = "deploy/node.json";
  Overrides node_settings;
  LogOptions log;

  // Reads the operator's file. Throws std::runtime_error naming the file and key at fault.
  NodeFile ReadNode() const { return ReadNodeFile(node_file, node_settings); }
  // Reads the platform's configuration. Throws std::runtime_error naming the file and key at fault.
  Config ReadConfiguration(ConfigRequirements requirements) const;
};

// The subcommands of `sagetally kept`.
enum class DeadLetterCommand { kList, kShow, kStats, kExport, kTry, kResend, kHold, kDrop, kCheckRules };

// The arguments of `sagetally kept`.
struct DeadLetterOptions {
  std::optional<DeadLetterCommand> command;  // no value: another subcommand was given
  std::string state;                         // the node's state folder, or the folder of kept.db
  std::string filter = "true";               // a condition of the rule language
  std::string rules;                         // a rule file
  std::string id;                            // of a dead letter, NODE/NUMBER
  std::string after;                         // the last id of the previous page
  std::string by = "reason";                 // the field by which statistics are grouped
  std::string output;                        // the file to create; empty: standard output
  int limit = 50;                            // maximum number of dead letters on a page
  bool as_json = false;
  bool with_body = false;
  bool yes = false;  // whether to apply the action instead of only counting messages
};

// The subcommands of `sagetally journal`.
enum class JournalCommand { kVerify, kStats, kShow, kSnapshot, kRestore };

// The arguments of `sagetally journal`.
struct JournalOptions {
  std::optional<JournalCommand> command;  // no value: another subcommand was given
  std::string state;                      // the node's state folder
  std::string output;                     // kSnapshot: the folder to create
  std::string snapshot;                   // kRestore: the folder of the snapshot
  int limit = 50;                         // kShow: maximum number of messages shown
  bool as_json = false;
  bool all = false;      // kShow: also completed messages that the journal retains
  bool replace = false;  // kRestore: this and the next two are the fields of RestoreOptions
  bool exact = false;
  bool damaged = false;
};

// The parsed command line.
struct CommandLine {
  enum class Command { kServe, kCheckConfig, kDeadLetter, kJournal, kAdmin, kNone };
  Command command = Command::kServe;
  Options options;
  DeadLetterOptions dead_letter;
  JournalOptions journal;
  AdminCommand admin = AdminCommand::kNone;  // set if the command is kAdmin
  // For kNone: 0 if help or the version was requested, 2 if the usage was wrong.
  int exit_code = 0;
};

// Parses the command line. If help or the version is requested, or the usage is wrong, prints the text or the
// error and returns the command kNone.
CommandLine ParseCommandLine(int argc, const char* const* argv);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_OPTIONS_H_
