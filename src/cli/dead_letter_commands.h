// `sagetally kept ...`: inspects the dead letters of a node, running or stopped, and acts on those of a
// running one.
#ifndef SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_
#define SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_

#include <ostream>

#include "cli/options.h"

namespace sagetally {

// `command` must have a command. Prints to `out`, and a progress bar to `progress`. Returns the exit code.
// Throws std::runtime_error saying what failed.
int RunDeadLetterCommand(const DeadLetterOptions& command, const Options& options, std::ostream& out,
                         std::ostream& progress);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_
