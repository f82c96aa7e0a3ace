// The rule language: which kept messages are sent again, held or dropped. The text is parsed in grammar.cpp;
// here are its values, its check against the configured classes, its evaluation and its printing.
//
//   rule avisos:
//     when class = aviso and age in {10s..2h} and not may_have_run
//     then resend rate 5/s times 3 window 2h deadline 20s after 30s;
//   rule rest: when true then hold;
//
// The first rule that matches decides.
#ifndef SAGETALLY_SRC_DEAD_LETTER_REDRIVE_RULES_H_
#define SAGETALLY_SRC_DEAD_LETTER_REDRIVE_RULES_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dead_letter/dead_letter.h"

namespace sagetally::dead_letter {

enum class Field : std::uint8_t {
  kClass,
  kDestination,
  kReason,
  kEnd,
  kState,
  kAge,
  kAttempts,
  kResends,
  kMayHaveRun,
  kLastOutcome,
  kBodySize,
  kId,
  kKey,
  kAttribute
};
enum class Operator : std::uint8_t { kPresent, kEqual, kUnequal, kLess, kAtMost, kMore, kAtLeast, kIn };
enum class Unit : std::uint8_t { kWord, kText, kNumber, kDuration, kSize, kBool };

struct Literal {
  Unit unit = Unit::kNumber;
  std::int64_t number = 0;  // kDuration: microseconds; kSize: bytes; kBool: 0 or 1
  std::string text = {};    // kWord, kText
  std::size_t at = 0;       // offset in the text it was read from; no part of its value
  bool operator==(const Literal& other) const {
    return unit == other.unit && number == other.number && text == other.text;
  }
};

struct Range {  // a single value where there is no `to`
  Literal from;
  std::optional<Literal> to = {};
  bool operator==(const Range&) const = default;
};

struct Condition {
  enum class Kind : std::uint8_t { kConstant, kAnd, kOr, kNot, kCompare };
  Kind kind = Kind::kConstant;
  bool constant = true;
  std::vector<Condition> parts = {};  // kAnd, kOr: two or more; kNot: one
  // kCompare:
  std::string name = {};  // the field as written
  Field field = Field::kClass;
  std::string attribute = {};
  Operator op = Operator::kPresent;
  std::vector<Range> values = {};
  std::size_t at = 0;
  bool operator==(const Condition& other) const {
    return kind == other.kind && constant == other.constant && parts == other.parts && name == other.name &&
           attribute == other.attribute && op == other.op && values == other.values;
  }
};

struct RedriveAction {
  double rate = 1;                               // a second, of this rule
  int times = 3;                                 // resends of one message
  Duration window = std::chrono::hours(24);      // since its end; later it is held
  Duration deadline = std::chrono::seconds(20);  // of each resend
  Duration after = std::chrono::seconds(10);     // the destination has been well for so long
  bool operator==(const RedriveAction&) const = default;
};

struct RuleAction {
  enum class Kind : std::uint8_t { kRedrive, kHold, kDrop };
  Kind kind = Kind::kHold;
  RedriveAction redrive = {};  // kResend
  bool operator==(const RuleAction&) const = default;
};

struct Rule {
  std::string name;
  Condition when;
  RuleAction then;
  std::size_t at = 0;
  bool operator==(const Rule& other) const {
    return name == other.name && when == other.when && then == other.then;
  }
};

struct RuleSet {
  std::vector<Rule> rules;
  bool operator==(const RuleSet&) const = default;
};

struct RuleError : std::runtime_error {  // "line 3, column 14: expected a duration, found ..."
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kMostRuleText = 256 * 1024;
inline constexpr std::size_t kMostNesting = 100;

// Throw RuleError. `classes`: the configured names; empty: any word is a class.
RuleSet ParseRules(std::string_view text, const std::vector<std::string>& classes);
Condition ParseCondition(std::string_view text, const std::vector<std::string>& classes);

std::string Print(const Condition& condition);
std::string Print(const Rule& rule);
std::string Print(const RuleSet& rules);
std::string PrintDuration(Duration d);

// `now`: by the wall clock.
bool Matches(const Condition& condition, const DeadLetter& kept, Time now);
// The first rule that matches, or null.
const Rule* FirstMatch(const RuleSet& rules, const DeadLetter& kept, Time now);
// When, after `now`, age alone may change which rule matches; none: never.
std::optional<Time> NextChange(const RuleSet& rules, const DeadLetter& kept, Time now);

// Fills `field` of every comparison and checks operators and values; throws RuleError against `text`.
void CheckTypes(Condition& condition, std::string_view text, const std::vector<std::string>& classes);
// "line 3, column 14"
std::string Place(std::string_view text, std::size_t at);

// A condition for SQL's WHERE over the columns of the store, with values for its question marks.
struct SqlCondition {
  std::string text;
  std::vector<std::variant<std::int64_t, std::string>> values;
};
SqlCondition ToSql(const Condition& condition, Time now);
// Whether the condition speaks only of what the store's index of filters holds.
bool InFilterIndex(const Condition& condition);

}  // namespace sagetally::dead_letter

#endif  // SAGETALLY_SRC_DEAD_LETTER_REDRIVE_RULES_H_
