#include "dead_letter/rule_evaluation.h"

#include <algorithm>
#include <string_view>
#include <variant>

#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

using Value = std::variant<std::int64_t, std::string_view>;

Value ValueOf(const Literal& literal) {
  if (literal.type == LiteralType::kWord || literal.type == LiteralType::kString) {
    return std::string_view{literal.text};
  }
  return literal.number;
}

std::optional<Value> AttributeOf(const DeadLetter& dead_letter, const std::string& name) {
  const auto attribute = dead_letter.request.attributes.find(name);
  if (attribute == dead_letter.request.attributes.end()) return std::nullopt;
  return std::string_view{attribute->second};
}

// Returns the value that the comparison tests, or nothing if it is an absent attribute.
std::optional<Value> ValueIn(const DeadLetter& dead_letter, const Condition& comparison, Time now) {
  switch (comparison.field) {
    case Field::kClass:
      return std::string_view{dead_letter.class_name};
    case Field::kDestination:
      return std::int64_t{dead_letter.request.destination};
    case Field::kFailureReason:
      return Name(dead_letter.failure_reason);
    case Field::kFinalStatus:
      return Name(dead_letter.final_status);
    case Field::kState:
      return Name(dead_letter.state);
    case Field::kAge:
      return (now - dead_letter.ended_at).count();
    case Field::kAttempts:
      return std::int64_t{dead_letter.attempts};
    case Field::kRedrives:
      return std::int64_t{dead_letter.redrives};
    case Field::kMayHaveRun:
      return std::int64_t{dead_letter.first_uncertain_attempt ? 1 : 0};
    case Field::kLastOutcome:
      return Name(dead_letter.LastOutcome());
    case Field::kBodySize:
      return static_cast<std::int64_t>(dead_letter.body_size);
    case Field::kId:
      return std::string_view{dead_letter.request.id};
    case Field::kKey:
      return std::string_view{dead_letter.request.idempotency_key};
    case Field::kAttribute:
      break;
  }
  return AttributeOf(dead_letter, comparison.attribute);
}

bool IsTrue(const Value& value) {
  const auto* number = std::get_if<std::int64_t>(&value);
  return number == nullptr || *number != 0;
}

bool Contains(const ValueRange& range, const Value& value) {
  if (!range.to) return value == ValueOf(range.from);
  return value >= ValueOf(range.from) && value <= ValueOf(*range.to);
}

bool IsSatisfied(const Condition& comparison, const Value& value) {
  const std::vector<ValueRange>& ranges = comparison.ranges;
  if (comparison.op == Operator::kPresent) return IsTrue(value);
  if (comparison.op == Operator::kIn) {
    return std::any_of(ranges.begin(), ranges.end(),
                       [&](const ValueRange& range) { return Contains(range, value); });
  }
  const Value compared = ValueOf(ranges.front().from);
  switch (comparison.op) {
    case Operator::kEqual:
      return value == compared;
    case Operator::kNotEqual:
      return value != compared;
    case Operator::kLess:
      return value < compared;
    case Operator::kLessOrEqual:
      return value <= compared;
    case Operator::kGreater:
      return value > compared;
    default:
      return value >= compared;
  }
}

// Adds the two ages at which the result of a comparison with `age` may change: `age` itself, where < and >=
// change, and 1 microsecond more, where <= and > change.
void AppendAgesAround(const Literal& age, std::vector<Duration>& ages) {
  ages.emplace_back(age.number);
  ages.emplace_back(age.number + 1);
}

void AppendAges(const Condition& condition, std::vector<Duration>& ages) {
  for (const Condition& operand : condition.operands) AppendAges(operand, ages);
  if (condition.kind != Condition::Kind::kComparison || condition.field != Field::kAge) return;
  for (const ValueRange& range : condition.ranges) {
    AppendAgesAround(range.from, ages);
    if (range.to) AppendAgesAround(*range.to, ages);
  }
}

}  // namespace

bool Matches(const Condition& condition, const DeadLetter& dead_letter, Time now) {
  const std::vector<Condition>& operands = condition.operands;
  const auto matches = [&](const Condition& operand) { return Matches(operand, dead_letter, now); };
  switch (condition.kind) {
    case Condition::Kind::kConstant:
      return condition.constant;
    case Condition::Kind::kAnd:
      return std::all_of(operands.begin(), operands.end(), matches);
    case Condition::Kind::kOr:
      return std::any_of(operands.begin(), operands.end(), matches);
    case Condition::Kind::kNot:
      return !matches(operands.front());
    case Condition::Kind::kComparison:
      break;
  }
  const std::optional<Value> value = ValueIn(dead_letter, condition, now);
  return value && IsSatisfied(condition, *value);
}

const Rule* FirstMatch(const RuleSet& rules, const DeadLetter& dead_letter, Time now) {
  const auto rule = std::find_if(rules.rules.begin(), rules.rules.end(), [&](const Rule& candidate) {
    return Matches(candidate.condition, dead_letter, now);
  });
  return rule == rules.rules.end() ? nullptr : &*rule;
}

std::optional<Time> NextChange(const RuleSet& rules, const DeadLetter& dead_letter, Time now) {
  std::vector<Duration> ages;
  for (const Rule& rule : rules.rules) AppendAges(rule.condition, ages);
  std::optional<Time> next;
  for (const Duration age : ages) {
    const Time change = dead_letter.ended_at + age;
    if (change > now && (!next || change < *next)) next = change;
  }
  return next;
}

}  // namespace sagetally::dead_letter
