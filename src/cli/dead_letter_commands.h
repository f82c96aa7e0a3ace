// `sagetally kept ...`: asks the running node by its control socket, or reads the file of a stopped one.
#ifndef SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_
#define SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_

#include <ostream>

#include "cli/options.h"

namespace sagetally {

// Returns the exit code. Throws std::runtime_error saying what failed.
int RunDeadLetterCommand(const DeadLetterOptions& kept, const Options& options, std::ostream& out,
                         std::ostream& progress);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_DEAD_LETTER_COMMANDS_H_
