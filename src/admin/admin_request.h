// The calls of the operators' door, as one line each. No I/O.
#ifndef SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
#define SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sagetally {

enum class OperatorCall { kNone, kStatus, kMetrics, kPause, kResume };

constexpr std::size_t kMostOperatorLine = 64;  // bytes, its end included

struct ReadCall {
  enum class State { kUnfinished, kRead, kWrong } state = State::kUnfinished;
  OperatorCall call = OperatorCall::kNone;
  std::string why = {};  // kWrong
};
// What has come on a connection so far: one word in capitals and LF or CRLF, nothing else.
ReadCall ReadOperatorCall(std::string_view bytes);

// What a process answers by; each returns its whole answer, LF included.
struct OperatorAnswers {
  std::function<std::string()> status, metrics, pause, resume;
};
std::string AnswerTo(const ReadCall& call, const OperatorAnswers& answers);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_ADMIN_ADMIN_REQUEST_H_
