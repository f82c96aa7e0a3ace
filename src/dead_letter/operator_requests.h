// What operators ask of the store, as JSON in and out: answered alike by a running node's control socket and
// from the file of a stopped one. docs/kept.md, "The control socket", describes the protocol.
#ifndef SAGETALLY_SRC_DEAD_LETTER_OPERATOR_REQUESTS_H_
#define SAGETALLY_SRC_DEAD_LETTER_OPERATOR_REQUESTS_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "dead_letter/rule_parser.h"
#include "dead_letter/storage/database.h"

namespace sagetally::dead_letter {

inline constexpr int kControlVersion = 1;
inline constexpr std::size_t kMaxRequestBytes = 512 * 1024;
inline constexpr int kMaxPageSize = 1000;          // messages of one list
inline constexpr int kMaxPageSizeWithBodies = 50;  // messages of one list with bodies

struct OperatorRequest {
  enum class Kind { kStatus, kList, kShow, kStats, kDryRun, kAct };
  Kind kind = Kind::kStatus;
  Condition filter;                                   // kList, kAct
  std::optional<DeadLetterId> after;                  // kList, kDryRun: the last message of the page before
  std::int64_t cursor = 0;                            // kAct: where the last call ended
  int limit = 50;                                     // kList
  bool with_body = false;                             // kList, kShow
  DeadLetterId id;                                    // kShow
  std::string by = "reason";                          // kStats
  RuleSet rules;                                      // kDryRun
  RuleAction::Kind action = RuleAction::Kind::kHold;  // kAct
  bool only_count = false;                            // kAct

  bool IsWrite() const { return kind == Kind::kAct && !only_count; }
};

// A request that can't be read or carried out.
struct OperatorRequestError : std::runtime_error {
  // `location`: the JSON pointer or the part at fault; may be empty.
  OperatorRequestError(const std::string& location, const std::string& reason)
      : std::runtime_error(location.empty() ? reason : location + ": " + reason),
        location(location),
        reason(reason) {}
  std::string location;
  std::string reason;
};

// `classes`: the configured names; empty: any word is a class. Throws OperatorRequestError.
OperatorRequest ParseOperatorRequest(std::string_view line, const std::vector<std::string>& classes);

// `review`: of the running node, or read from its configuration; kDryRun and kAct need it. Throws
// OperatorRequestError and StoreError. Not for kStatus, which only a running node can answer.
nlohmann::json ExecuteOperatorRequest(const OperatorRequest& request, Database& database,
                                      const ReviewSettings* review, const Timestamp& now);

// Answers, on one line each without its end.
std::string OkLine(nlohmann::json result);
std::string ErrorLine(std::string_view reason);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_OPERATOR_REQUESTS_H_
