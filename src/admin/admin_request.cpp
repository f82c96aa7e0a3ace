#include "admin/admin_request.h"

#include <utility>

namespace sagetally {

ReadCall ReadOperatorCall(std::string_view bytes) {
  using State = ReadCall::State;
  static constexpr std::pair<std::string_view, OperatorCall> kCalls[] = {{"STATUS", OperatorCall::kStatus},
                                                                         {"METRICS", OperatorCall::kMetrics},
                                                                         {"PAUSE", OperatorCall::kPause},
                                                                         {"RESUME", OperatorCall::kResume}};
  const std::size_t end = bytes.find('\n');
  if (end == bytes.npos) {
    if (bytes.size() < kMostOperatorLine) return {};
    return {State::kWrong, OperatorCall::kNone, "the line is too long"};
  }
  if (end + 1 < bytes.size()) return {State::kWrong, OperatorCall::kNone, "one line for each connection"};
  std::string_view word = bytes.substr(0, end);
  if (word.ends_with('\r')) word.remove_suffix(1);
  for (const auto& [name, call] : kCalls) {
    if (word == name) return {State::kRead, call, ""};
  }
  return {State::kWrong, OperatorCall::kNone, "expected STATUS, METRICS, PAUSE or RESUME"};
}

std::string AnswerTo(const ReadCall& call, const OperatorAnswers& answers) {
  switch (call.call) {
    case OperatorCall::kStatus:
      return answers.status();
    case OperatorCall::kMetrics:
      return answers.metrics();
    case OperatorCall::kPause:
      return answers.pause();
    case OperatorCall::kResume:
      return answers.resume();
    case OperatorCall::kNone:
      break;
  }
  return "error " + call.why + "\n";
}

}  // namespace sagetally
