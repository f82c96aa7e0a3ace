// The calls of the operators' door, as one line each. No I/O.
#ifndef SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
#define SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sagetally {

enum class AdminCommand { kNone, kStatus, kMetrics, kPause, kResume };

constexpr std::size_t kMaxAdminLineBytes = 64;  // bytes, its end included

struct AdminRequest {
  enum class State { kIncomplete, kComplete, kMalformed } state = State::kIncomplete;
  AdminCommand command = AdminCommand::kNone;
  std::string error = {};  // kWrong
};
// What has come on a connection so far: one word in capitals and LF or CRLF, nothing else.
AdminRequest ParseAdminRequest(std::string_view bytes);

// What a process answers by; each returns its whole answer, LF included.
struct AdminHandlers {
  std::function<std::string()> status, metrics, pause, resume;
};
std::string HandleAdminRequest(const AdminRequest& call, const AdminHandlers& answers);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
