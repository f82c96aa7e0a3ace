// Operators' requests to the dead-letter store, with JSON requests and answers. A running node's control
// socket and the command line on the file of a stopped node use the same functions. docs/kept.md, "The
// control socket", describes the protocol. Functions without state; the thread that uses the database calls
// ExecuteOperatorRequest.
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
inline constexpr int kMaxPageSize = 1000;          // messages in one answer to `list`
inline constexpr int kMaxPageSizeWithBodies = 50;  // the same if the answer contains the bodies

// A parsed request. The comments say which kinds of request use a field.
struct OperatorRequest {
  enum class Kind { kStatus, kList, kShow, kStats, kDryRun, kAct };
  Kind kind = Kind::kStatus;
  Condition filter;                                   // kList, kAct
  std::optional<DeadLetterId> after;                  // kList, kDryRun: last message of the previous page
  std::int64_t cursor = 0;                            // kAct: where the previous call stopped
  int limit = 50;                                     // kList
  bool with_body = false;                             // kList, kShow
  DeadLetterId id;                                    // kShow
  std::string by = "reason";                          // kStats
  RuleSet rules;                                      // kDryRun
  RuleAction::Kind action = RuleAction::Kind::kHold;  // kAct
  bool only_count = false;                            // kAct: changes nothing

  // Whether the request changes the store.
  bool IsWrite() const { return kind == Kind::kAct && !only_count; }
};

// A request that can't be parsed or executed.
struct OperatorRequestError : std::runtime_error {
  // `location` is the JSON pointer to the invalid value, or `filter` or `rules`; it may be empty.
  OperatorRequestError(const std::string& location, const std::string& reason)
      : std::runtime_error(location.empty() ? reason : location + ": " + reason),
        location(location),
        reason(reason) {}
  std::string location;
  std::string reason;
};

// Parses one line. `classes` are the configured class names; if it is empty, any word is accepted as a class.
// Throws OperatorRequestError.
OperatorRequest ParseOperatorRequest(std::string_view line, const std::vector<std::string>& classes);

// Executes a request. kDryRun and kAct need `review`, which is that of the running node or was read from its
// configuration; otherwise it may be null. Not for kStatus, which only a running node can answer. Throws
// OperatorRequestError and StoreError.
nlohmann::json ExecuteOperatorRequest(const OperatorRequest& request, Database& database,
                                      const ReviewSettings* review, const Timestamp& now);

// Return an answer as one line without the newline.
std::string OkLine(nlohmann::json result);
std::string ErrorLine(std::string_view reason);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_OPERATOR_REQUESTS_H_
