// The operators' line protocol on the admin server: parsing of a request line and dispatch to the process's
// handlers. Called by net's AdminServer on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
#define SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sagetally {

// The requests of the protocol; kNone stands for a line that is incomplete or malformed.
enum class AdminCommand { kNone, kStatus, kMetrics, kPause, kResume };

// Longest request line in bytes, its line end included.
constexpr std::size_t kMaxAdminLineBytes = 64;

// What the bytes received on one connection amount to.
struct AdminRequest {
  enum class State { kIncomplete, kComplete, kMalformed };

  State state = State::kIncomplete;
  AdminCommand command = AdminCommand::kNone;  // set if kComplete
  std::string error = {};                      // what is wrong; set if kMalformed
};

// Parses all bytes received on a connection so far: one word in capitals, ended by LF or CRLF, and nothing
// else.
AdminRequest ParseAdminRequest(std::string_view bytes);

// What a process answers with. Each handler returns its whole response, the last LF included.
struct AdminHandlers {
  std::function<std::string()> status;
  std::function<std::string()> metrics;
  std::function<std::string()> pause;
  std::function<std::string()> resume;
};

// Returns the response to a request that is not incomplete. A malformed one calls no handler.
std::string HandleAdminRequest(const AdminRequest& request, const AdminHandlers& handlers);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
