// `sagetally status|metrics|pause|resume`: sends one request to the admin server of a running process. Called
// by the program's main function.
#ifndef SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_
#define SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_

#include <ostream>
#include <string>

#include "admin/admin_request.h"

namespace sagetally {

// Sends `command` to the process at `admin` (HOST:PORT). Prints its response to `out`, or to `errors` if it
// is an error. Returns the exit code, which is 1 for an error response. Throws std::runtime_error naming the
// address if no complete response arrives or the process sends nothing for 3 s.
int RunAdminCommand(AdminCommand command, const std::string& admin, std::ostream& out, std::ostream& errors);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_
