// What operators ask of the store, as JSON in and out: the same answers by a running node's control socket
// and on the file of one that is stopped. The protocol is docs/kept.md, "The control socket".
#ifndef SAGETALLY_SRC_DEAD_LETTER_OPERATOR_REQUESTS_H_
#define SAGETALLY_SRC_DEAD_LETTER_OPERATOR_REQUESTS_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "dead_letter/storage/database.h"

namespace sagetally::dead_letter {

inline constexpr int kControlVersion = 1;
inline constexpr std::size_t kMaxRequestBytes = 512 * 1024;  // bytes of one request
inline constexpr int kMaxPageSize = 1000, kMaxBodyBytes = 50;

struct OperatorRequest {
  enum class Kind { kStatus, kList, kShow, kStats, kTry, kAct };
  Kind kind = Kind::kStatus;
  Condition filter;                   // kList, kAct
  std::optional<DeadLetterId> after;  // kList, kTry: of the last page
  std::int64_t cursor = 0;            // kAct
  int limit = 50;
  bool with_body = false;                             // kList, kShow
  DeadLetterId id;                                    // kShow
  std::string by = "reason";                          // kStats
  RuleSet rules;                                      // kTry
  RuleAction::Kind action = RuleAction::Kind::kHold;  // kAct
  bool only_count = false;                            // kAct

  bool IsWrite() const { return kind == Kind::kAct && !only_count; }
};

// Throws std::runtime_error saying what is wrong with the request.
OperatorRequest ParseOperatorRequest(std::string_view line, const std::vector<std::string>& classes);

// `review`: of the running node, or read from its configuration; kTry and kAct need it.
nlohmann::json ExecuteOperatorRequest(const OperatorRequest& operation, Database& database,
                                      const ReviewSettings* review, const Timestamp& now);

// One line each, without its end.
std::string OkLine(nlohmann::json result);
std::string ErrorLine(std::string_view why);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_OPERATOR_REQUESTS_H_
