// The groups of subcommands, each added to the program's command line by a function of its own. What is
// parsed lands in the options, which must outlive the parsing.
#ifndef SAGETALLY_SRC_CLI_SUBCOMMANDS_H_
#define SAGETALLY_SRC_CLI_SUBCOMMANDS_H_

#include <CLI/CLI.hpp>

#include "cli/options.h"

namespace sagetally {

// `sagetally kept ...`
void AddDeadLetterCommands(CLI::App& app, DeadLetterOptions& options);
// `sagetally journal ...`
void AddJournalCommands(CLI::App& app, JournalOptions& options);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_SUBCOMMANDS_H_
