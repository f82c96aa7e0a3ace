#include "admin/admin_request.h"

namespace sagetally {
namespace {

struct CommandWord {
  std::string_view word;
  AdminCommand command;
};

// The request lines of the protocol, without their line ends.
constexpr CommandWord kCommandWords[] = {{"STATUS", AdminCommand::kStatus},
                                         {"METRICS", AdminCommand::kMetrics},
                                         {"PAUSE", AdminCommand::kPause},
                                         {"RESUME", AdminCommand::kResume}};

AdminRequest Malformed(const char* error) {
  return {AdminRequest::State::kMalformed, AdminCommand::kNone, error};
}

}  // namespace

AdminRequest ParseAdminRequest(std::string_view bytes) {
  const std::size_t line_end = bytes.find('\n');
  if (line_end == std::string_view::npos) {
    if (bytes.size() < kMaxAdminLineBytes) return {};
    return Malformed("the line is too long");
  }
  if (line_end + 1 < bytes.size()) return Malformed("one line for each connection");
  std::string_view line = bytes.substr(0, line_end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  for (const CommandWord& entry : kCommandWords) {
    if (line == entry.word) return {AdminRequest::State::kComplete, entry.command, ""};
  }
  return Malformed("expected STATUS, METRICS, PAUSE or RESUME");
}

std::string HandleAdminRequest(const AdminRequest& request, const AdminHandlers& handlers) {
  switch (request.command) {
    case AdminCommand::kStatus:
      return handlers.status();
    case AdminCommand::kMetrics:
      return handlers.metrics();
    case AdminCommand::kPause:
      return handlers.pause();
    case AdminCommand::kResume:
      return handlers.resume();
    case AdminCommand::kNone:
      break;
  }
  return "error " + request.error + "\n";
}

}  // namespace sagetally
