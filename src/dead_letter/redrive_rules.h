// The data types of the rule language, which says which dead letters are redriven, held or dropped:
//
//   rule avisos:
//     when class = aviso and age in {10s..2h} and not may_have_run
//     then resend rate 5/s times 3 window 2h deadline 20s after 30s;
//   rule rest: when true then hold;
//
// The first rule that matches decides. rule_parser.h reads the language, rule_printer.h writes it,
// rule_evaluation.h applies it to a dead letter, and storage/filter_sql.h translates conditions into SQL.
// docs/kept.md describes the language. Plain values, safe on any thread.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_RULES_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_RULES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sagetally/dispatch_policy.h"

namespace sagetally::dead_letter {

// The property of a dead letter that a comparison tests; rule_fields.h has the word for each.
enum class Field : std::uint8_t {
  kClass,
  kDestination,
  kFailureReason,
  kFinalStatus,
  kState,
  kAge,
  kAttempts,
  kRedrives,
  kMayHaveRun,
  kLastOutcome,
  kBodySize,
  kId,
  kKey,
  kAttribute
};
// The operators of comparisons. kPresent is a field name without an operator.
enum class Operator : std::uint8_t {
  kPresent,
  kEqual,
  kNotEqual,
  kLess,
  kLessOrEqual,
  kGreater,
  kGreaterOrEqual,
  kIn
};
// The types of values. Words are not quoted, strings are.
enum class LiteralType : std::uint8_t { kWord, kString, kNumber, kDuration, kSize, kBool };

// A value as written in a rule.
struct Literal {
  LiteralType type = LiteralType::kNumber;
  std::int64_t number = 0;  // kDuration: microseconds; kSize: bytes; kBool: 0 or 1
  std::string text = {};    // kWord, kString
  std::size_t offset = 0;   // in bytes, in the text it was read from; ignored by comparisons
  bool operator==(const Literal& other) const {
    return type == other.type && number == other.number && text == other.text;
  }
};

// The values between `from` and `to`, both included, or only `from` if there is no `to`.
struct ValueRange {
  Literal from;
  std::optional<Literal> to = {};
  bool operator==(const ValueRange&) const = default;
};

// A tree of comparisons. The comments say which kinds of node use a member. The default value is the constant
// `true`.
struct Condition {
  enum class Kind : std::uint8_t { kConstant, kAnd, kOr, kNot, kComparison };
  Kind kind = Kind::kConstant;
  bool constant = true;                  // kConstant
  std::vector<Condition> operands = {};  // kAnd, kOr: two or more; kNot: one
  // kComparison:
  std::string field_name = {};  // as written in the text
  Field field = Field::kClass;  // set by CheckTypes (rule_fields.h)
  std::string attribute = {};   // Field::kAttribute: the name of the attribute
  Operator op = Operator::kPresent;
  std::vector<ValueRange> ranges = {};  // kIn: one or more; kPresent: none; otherwise a single value
  std::size_t offset = 0;               // in bytes, in the text it was read from; ignored by comparisons
  bool operator==(const Condition& other) const {
    return kind == other.kind && constant == other.constant && operands == other.operands &&
           field_name == other.field_name && attribute == other.attribute && op == other.op &&
           ranges == other.ranges;
  }
};

// The parameters of the action `resend`.
struct RedriveAction {
  double rate_per_second = 1;                         // for all messages of the rule together
  int max_redrives = 3;                               // for each message
  Duration max_age = std::chrono::hours(24);          // since the message completed; older messages are held
  Duration call_deadline = std::chrono::seconds(20);  // from the start of each redrive
  Duration healthy_for = std::chrono::seconds(10);    // how long the destination must not have had a failure
  bool operator==(const RedriveAction&) const = default;
};

// What a rule does with the messages that it matches.
struct RuleAction {
  enum class Kind : std::uint8_t { kRedrive, kHold, kDrop };
  Kind kind = Kind::kHold;
  RedriveAction redrive = {};  // kRedrive
  bool operator==(const RuleAction&) const = default;
};

// A rule. Names are unique within a rule set.
struct Rule {
  std::string name;
  Condition condition;
  RuleAction action;
  std::size_t offset = 0;  // in bytes, in the text it was read from; ignored by comparisons
  bool operator==(const Rule& other) const {
    return name == other.name && condition == other.condition && action == other.action;
  }
};

// The rules of a file, in order. The first rule that matches a message decides.
struct RuleSet {
  std::vector<Rule> rules;
  bool operator==(const RuleSet&) const = default;
};

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_RULES_H_
