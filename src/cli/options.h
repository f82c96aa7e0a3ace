// The command line: flags, environment variables and sub-commands, on CLI11.
#ifndef SAGETALLY_SRC_CLI_OPTIONS_H_
#define SAGETALLY_SRC_CLI_OPTIONS_H_

#include <map>
#include <string>

#include "config/config.h"
#include "config/node_file.h"
#include "logging/logger.h"

namespace sagetally {

struct Options {  // that every sub-command takes
  // Each a flag and one of BALANCER_CONFIG, _NAME, _LISTEN, _ADMIN, _DISCOVERY, _STATE; empty: not given.
  std::string config, name, listen, admin, discovery, state;
  std::string node_file = "deploy/node.json";
  Overrides node_settings;
  LogOptions log;

  NodeFile ReadNode() const { return ReadNodeFile(node_file, node_settings); }
  // Throws std::runtime_error naming the file and key at fault.
  Config ReadConfiguration(ConfigRequirements needs) const;
};

struct DeadLetterOptions {  // of `sagetally kept ...`
  std::string command;
  std::string state;  // the node's state folder, or the folder of kept.db
  std::string filter = "true";
  std::string rules;  // a file
  std::string id;     // a kept message, NODE/NUMBER
  std::string after;  // a page's last id
  std::string by = "reason";
  std::string output;
  int limit = 50;
  bool as_json = false, with_body = false, yes = false;
};

struct JournalOptions {  // of `sagetally journal ...`
  std::string command;
  std::string state;     // the node's state folder
  std::string output;    // snapshot: a folder to make
  std::string snapshot;  // restore: such a folder
  int limit = 50;
  bool as_json = false, all = false;
  bool replace = false, exact = false, damaged = false;
};

struct CommandLine {
  enum class Command { kServe, kCheckConfig, kDeadLetter, kJournal, kAdmin, kNone };
  Command command = Command::kServe;
  Options options;
  DeadLetterOptions dead_letter;
  JournalOptions journal;
  std::string admin;  // kOperate: the call, in capitals
  int exit_code = 0;  // kNone: help or a version was asked for, or the usage was wrong (2)
};

// Prints help, the version or what is wrong with the usage by itself.
CommandLine ParseCommandLine(int argc, const char* const* argv);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_OPTIONS_H_
