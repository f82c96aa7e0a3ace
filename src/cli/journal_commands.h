// `sagetally journal ...`: the journal of a running or a stopped node.
#ifndef SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_
#define SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_

#include <ostream>

#include "cli/options.h"

namespace sagetally {

// The exit code. Throws std::runtime_error.
int RunJournalCommand(const JournalOptions& options, std::ostream& out);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_JOURNAL_COMMANDS_H_
