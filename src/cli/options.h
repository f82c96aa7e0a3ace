// The command line of `sagetally`: flags, environment variables and subcommands, on CLI11.
#ifndef SAGETALLY_SRC_CLI_OPTIONS_H_
#define SAGETALLY_SRC_CLI_OPTIONS_H_

#include <optional>
#include <string>

#include "admin/admin_request.h"
#include "config/config.h"
#include "config/node_file.h"
#include "logging/logger.h"

namespace sagetally {

// Options of the program, which stand with every subcommand.
struct Options {
  // Each is a flag and a variable: BALANCER_CONFIG, _NAME, _LISTEN, _ADMIN, _DISCOVERY, _STATE. Empty: not
  // given.
  std::string config;
  std::string name;
  std::string listen;
  std::string admin;
  std::string discovery;
  std::string state;
  std::string node_file = "deploy/node.json";
  Overrides node_settings;
  LogOptions log;

  // Both throw std::runtime_error naming the file and key at fault.
  NodeFile ReadNode() const { return ReadNodeFile(node_file, node_settings); }
  Config ReadConfiguration(ConfigRequirements needs) const;
};

// The subcommands of `sagetally kept`.
enum class DeadLetterCommand { kList, kShow, kStats, kExport, kTry, kResend, kHold, kDrop, kCheckRules };

struct DeadLetterOptions {
  std::optional<DeadLetterCommand> command;  // none: another subcommand was given
  std::string state;                         // the node's state folder, or the folder of kept.db
  std::string filter = "true";               // a condition of the rule language
  std::string rules;                         // a rule file
  std::string id;                            // of a dead letter, NODE/NUMBER
  std::string after;                         // the last id of the page before
  std::string by = "reason";                 // what statistics are grouped by
  std::string output;                        // a file to make; empty: standard output
  int limit = 50;                            // dead letters on a page
  bool as_json = false;
  bool with_body = false;
  bool yes = false;  // act, in place of only counting
};

// The subcommands of `sagetally journal`.
enum class JournalCommand { kVerify, kStats, kShow, kSnapshot, kRestore };

struct JournalOptions {
  std::optional<JournalCommand> command;  // none: another subcommand was given
  std::string state;                      // the node's state folder
  std::string output;                     // kSnapshot: a folder to make
  std::string snapshot;                   // kRestore: such a folder
  int limit = 50;                         // messages shown
  bool as_json = false;
  bool all = false;      // kShow: also messages that have ended and are remembered
  bool replace = false;  // kRestore: as RestoreOptions
  bool exact = false;
  bool damaged = false;
};

struct CommandLine {
  enum class Command { kServe, kCheckConfig, kDeadLetter, kJournal, kAdmin, kNone };
  Command command = Command::kServe;
  Options options;
  DeadLetterOptions dead_letter;
  JournalOptions journal;
  AdminCommand admin = AdminCommand::kNone;  // with kAdmin
  int exit_code = 0;  // with kNone: help or the version was asked for (0), or the usage was wrong (2)
};

// Prints the help text, the version, or what is wrong with the usage by itself.
CommandLine ParseCommandLine(int argc, const char* const* argv);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_OPTIONS_H_
