// `sagetally journal ...`: reads and copies the journal of a running or stopped node, and restores that of a
// stopped one. Called by the program's main function.
#ifndef SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_
#define SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_

#include <ostream>

#include "cli/options.h"

namespace sagetally {

// Runs `options.command`, which must be set, and prints the result to `out`. Returns the exit code, which is
// 1 if kVerify finds damage. Throws std::runtime_error naming the folder or file at fault.
int RunJournalCommand(const JournalOptions& options, std::ostream& out);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_
