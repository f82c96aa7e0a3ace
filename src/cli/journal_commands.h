// `sagetally journal ...`: reads, copies and restores the journal of a node, running or stopped.
#ifndef SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_
#define SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_

#include <ostream>

#include "cli/options.h"

namespace sagetally {

// `options` must have a command. Returns the exit code, 1 if kVerify finds damage. Throws std::runtime_error
// naming the folder or file at fault.
int RunJournalCommand(const JournalOptions& options, std::ostream& out);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_
