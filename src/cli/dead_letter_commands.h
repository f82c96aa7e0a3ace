// `sagetally kept ...`: inspects the dead letters of a running or stopped node, and applies operators'
// actions to those of a running one. Called by the program's main function.
#ifndef SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_
#define SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_

#include <ostream>

#include "cli/options.h"

namespace sagetally {

// Runs `command`, whose member `command` must be set. Prints the result to `out`, and a progress bar to
// `progress`. Returns the exit code. Throws std::runtime_error that describes the failure.
int RunDeadLetterCommand(const DeadLetterOptions& command, const Options& options, std::ostream& out,
                         std::ostream& progress);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_
