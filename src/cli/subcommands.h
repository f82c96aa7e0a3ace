// Functions that add groups of subcommands to the program's command line. Parsing stores the values in the
// options that are passed, which must outlive the parsing. Called by ParseCommandLine.
#ifndef SAGETALLY_SRC_CLI_SUBCOMMANDS_H_
#define SAGETALLY_SRC_CLI_SUBCOMMANDS_H_

#include <CLI/CLI.hpp>

#include "cli/options.h"

namespace sagetally {

// Adds `sagetally kept ...`.
void AddDeadLetterCommands(CLI::App& app, DeadLetterOptions& options);
// Adds `sagetally journal ...`.
void AddJournalCommands(CLI::App& app, JournalOptions& options);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_SUBCOMMANDS_H_
