// `sagetally status|metrics|pause|resume`: one request to the operators' interface of a running process.
#ifndef SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_
#define SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_

#include <ostream>
#include <string>

#include "admin/admin_request.h"

namespace sagetally {

// Sends `command` to the process at `admin` (HOST:PORT) and prints its answer, an error to `errors`. Returns
// the exit code, 1 if the answer is an error. Throws std::runtime_error naming the address if no answer comes
// within 3 s.
int RunAdminCommand(AdminCommand command, const std::string& admin, std::ostream& out, std::ostream& errors);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_
