#include "dead_letter/storage/row_codec.h"

#include <algorithm>

#include "dead_letter/dead_letter_json.h"

namespace sagetally::dead_letter {
namespace {

constexpr const char* kColumnList =
    "node, number, state, id, key, class, destination, form, attributes, body_size, taken_at, deadline, "
    "ended_at, end, reason, attempts, history, may_have_run, may_steady, may_boot, may_at, resends, worth, "
    "not_before, by_hand, rule, ground, life, seq";

// In the order of kColumnList.
enum Column : int {
  kNode,
  kNumber,
  kState,
  kId,
  kKey,
  kClass,
  kDestination,
  kProtocol,
  kAttributes,
  kBodySize,
  kAcceptedAt,
  kDeadline,
  kEndedAt,
  kFinalStatus,
  kFailureReason,
  kAttempts,
  kHistory,
  kUncertainWallTime,
  kUncertainSteadyTime,
  kUncertainBootId,
  kUncertainEndpoint,
  kRedrives,
  kPriorityWeight,
  kNotBefore,
  kRequestedByOperator,
  kRule,
  kDecisionReason,
  kIncarnation,
  kSequence,
  kBody
};

Request ReadRequest(const SqliteStatement& row) {
  Request request;
  request.id = row.Bytes(kId);
  request.idempotency_key = row.Bytes(kKey);
  request.destination = static_cast<int>(row.Integer(kDestination));
  const bool is_event = row.Integer(kProtocol) == static_cast<int>(IngressProtocol::kCloudEvents);
  request.protocol = is_event ? IngressProtocol::kCloudEvents : IngressProtocol::kPlatform;
  request.attributes = ParseAttributes(row.Bytes(kAttributes));
  return request;
}

// A state outside the enumeration, which a later version may have stored, is read as the nearest known one.
DeadLetterState ReadState(const SqliteStatement& row) {
  return static_cast<DeadLetterState>(
      std::clamp<std::int64_t>(row.Integer(kState), 0, kDeadLetterStateCount - 1));
}

std::optional<Timestamp> ReadFirstUncertainAttempt(const SqliteStatement& row) {
  if (row.IsNull(kUncertainWallTime)) return std::nullopt;
  return Timestamp{row.Microseconds(kUncertainWallTime), row.Microseconds(kUncertainSteadyTime),
                   row.Unsigned(kUncertainBootId)};
}

}  // namespace

std::string SelectRows(bool with_body) {
  return std::string("SELECT ") + kColumnList + (with_body ? ", body" : "") + " FROM kept ";
}

DeadLetter ReadRow(const SqliteStatement& row, bool with_body) {
  DeadLetter dead_letter;
  dead_letter.id = {row.Bytes(kNode), row.Unsigned(kNumber)};
  dead_letter.request = ReadRequest(row);
  dead_letter.class_name = row.Bytes(kClass);
  dead_letter.body_size = static_cast<std::size_t>(row.Integer(kBodySize));
  dead_letter.accepted_at = row.Microseconds(kAcceptedAt);
  dead_letter.deadline = row.Microseconds(kDeadline);
  dead_letter.ended_at = row.Microseconds(kEndedAt);
  dead_letter.final_status = static_cast<FinalStatus>(row.Integer(kFinalStatus));
  dead_letter.failure_reason = static_cast<FailureReason>(row.Integer(kFailureReason));
  dead_letter.state = ReadState(row);
  dead_letter.attempts = static_cast<int>(row.Integer(kAttempts));
  dead_letter.history = ParseHistory(row.Bytes(kHistory)).value_or(std::vector<AttemptRecord>());
  dead_letter.first_uncertain_attempt = ReadFirstUncertainAttempt(row);
  dead_letter.first_uncertain_endpoint = row.Bytes(kUncertainEndpoint);
  dead_letter.redrives = static_cast<int>(row.Integer(kRedrives));
  dead_letter.incarnation = static_cast<std::int32_t>(row.Integer(kIncarnation));
  dead_letter.priority_weight = row.Real(kPriorityWeight);
  dead_letter.not_before = row.Microseconds(kNotBefore);
  dead_letter.requested_by_operator = row.Integer(kRequestedByOperator) != 0;
  dead_letter.rule = row.Bytes(kRule);
  dead_letter.decision_reason = row.Bytes(kDecisionReason);
  if (with_body) dead_letter.request.body = row.Bytes(kBody);
  return dead_letter;
}

std::int64_t ReadSequence(const SqliteStatement& row) { return row.Integer(kSequence); }

void BindAttempts(SqliteStatement& statement, const DeadLetter& dead_letter) {
  statement.Bind(static_cast<int>(dead_letter.failure_reason)).Bind(dead_letter.attempts);
  statement.Bind(HistoryToJson(dead_letter.history)).Bind(static_cast<int>(dead_letter.LastOutcome()));
  const std::optional<Timestamp>& attempt = dead_letter.first_uncertain_attempt;
  if (attempt) {
    statement.Bind(attempt->wall_time).Bind(attempt->steady_time).Bind(attempt->boot_id);
  } else {
    statement.BindNull().Bind(0).Bind(0);
  }
  statement.Bind(dead_letter.first_uncertain_endpoint);
}

int EvictionRank(DeadLetterState state) {
  const bool is_open = state == DeadLetterState::kStored || state == DeadLetterState::kHeld ||
                       state == DeadLetterState::kClaimed;
  return is_open ? 1 : 0;
}

}  // namespace sagetally::dead_letter
