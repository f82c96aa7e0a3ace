// `sagetally status|metrics|pause|resume`: one call at a running process's operators' door.
#ifndef SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_
#define SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_

#include <ostream>
#include <string>

namespace sagetally {

// `call` as the door takes it. Returns the exit code: 1 if the answer is an error or none comes in 3 s.
int RunAdminCommand(const std::string& call, const std::string& admin, std::ostream& out, std::ostream& err);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_ADMIN_COMMANDS_H_
