#include "admin/admin_request.h"

#include <utility>

namespace sagetally {

AdminRequest ParseAdminRequest(std::string_view bytes) {
  using State = AdminRequest::State;
  static constexpr std::pair<std::string_view, AdminCommand> kCalls[] = {{"STATUS", AdminCommand::kStatus},
                                                                         {"METRICS", AdminCommand::kMetrics},
                                                                         {"PAUSE", AdminCommand::kPause},
                                                                         {"RESUME", AdminCommand::kResume}};
  const std::size_t end = bytes.find('\n');
  if (end == bytes.npos) {
    if (bytes.size() < kMaxAdminLineBytes) return {};
    return {State::kMalformed, AdminCommand::kNone, "the line is too long"};
  }
  if (end + 1 < bytes.size()) return {State::kMalformed, AdminCommand::kNone, "one line for each connection"};
  std::string_view word = bytes.substr(0, end);
  if (word.ends_with('\r')) word.remove_suffix(1);
  for (const auto& [name, call] : kCalls) {
    if (word == name) return {State::kComplete, call, ""};
  }
  return {State::kMalformed, AdminCommand::kNone, "expected STATUS, METRICS, PAUSE or RESUME"};
}

std::string HandleAdminRequest(const AdminRequest& call, const AdminHandlers& answers) {
  switch (call.command) {
    case AdminCommand::kStatus:
      return answers.status();
    case AdminCommand::kMetrics:
      return answers.metrics();
    case AdminCommand::kPause:
      return answers.pause();
    case AdminCommand::kResume:
      return answers.resume();
    case AdminCommand::kNone:
      break;
  }
  return "error " + call.error + "\n";
}

}  // namespace sagetally
