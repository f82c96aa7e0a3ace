// The line protocol of the admin server: parses a request line and dispatches it to the handlers of the
// process. AdminServer in src/net calls it on the event loop's thread. It does no I/O.
#ifndef SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
#define SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sagetally {

// The requests of the protocol. kNone stands for a line that is incomplete or malformed.
enum class AdminCommand { kNone, kStatus, kMetrics, kPause, kResume };

// Maximum length of a request line in bytes, including its line end.
constexpr std::size_t kMaxAdminLineBytes = 64;

// Result of parsing the bytes received on one connection.
struct AdminRequest {
  enum class State { kIncomplete, kComplete, kMalformed };

  State state = State::kIncomplete;
  AdminCommand command = AdminCommand::kNone;  // set if the state is kComplete
  std::string error = {};                      // description of the error; set if the state is kMalformed
};

// Parses all bytes received on a connection so far. A valid request is one word in capital letters, ended by
// LF or CRLF, with nothing before or after it.
AdminRequest ParseAdminRequest(std::string_view bytes);

// The handlers that a process registers, one for each command. Each returns the whole response, including the
// final LF.
struct AdminHandlers {
  std::function<std::string()> status;
  std::function<std::string()> metrics;
  std::function<std::string()> pause;
  std::function<std::string()> resume;
};

// Returns the response to a complete or malformed request. A malformed request gets an error line, and no
// handler is called.
std::string HandleAdminRequest(const AdminRequest& request, const AdminHandlers& handlers);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
