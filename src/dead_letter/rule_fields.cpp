#include "dead_letter/rule_fields.h"

#include <algorithm>
#include <array>

#include "dead_letter/rule_error.h"
#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

constexpr std::array<FieldInfo, 14> kFields = {{
    {"class", Field::kClass, LiteralType::kWord, "a class", "class"},
    {"destination", Field::kDestination, LiteralType::kNumber, "a whole number", "destination"},
    {"reason", Field::kFailureReason, LiteralType::kWord, "a reason", "reason"},
    {"end", Field::kFinalStatus, LiteralType::kWord, "undeliverable or deferred", "end"},
    {"state", Field::kState, LiteralType::kWord, "a state", "state"},
    {"age", Field::kAge, LiteralType::kDuration, "a duration, such as 90s or 2h", "ended_at"},
    {"attempts", Field::kAttempts, LiteralType::kNumber, "a whole number", "attempts"},
    {"resends", Field::kRedrives, LiteralType::kNumber, "a whole number", "resends"},
    {"may_have_run", Field::kMayHaveRun, LiteralType::kBool, "true or false", "may_have_run"},
    {"last_outcome", Field::kLastOutcome, LiteralType::kWord, "an outcome", "last_outcome"},
    {"body_size", Field::kBodySize, LiteralType::kSize, "a size, such as 4kb", "body_size"},
    {"id", Field::kId, LiteralType::kString, "a quoted string", "id"},
    {"key", Field::kKey, LiteralType::kString, "a quoted string", "key"},
    {"attribute", Field::kAttribute, LiteralType::kString, "a quoted string", "attributes"},
}};

std::string Joined(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    if (!joined.empty()) joined += ", ";
    joined += word;
  }
  return joined;
}

std::vector<std::string> FieldNames() {
  std::vector<std::string> names;
  names.reserve(kFields.size());
  for (const FieldInfo& info : kFields) names.emplace_back(info.name);
  return names;
}

// Returns the words that are valid for a field; empty if every word is.
std::vector<std::string> AllowedWords(Field field, const std::vector<std::string>& classes) {
  switch (field) {
    case Field::kClass:
      return classes;
    case Field::kFailureReason:
      return FailureReasonNames();
    case Field::kState:
      return DeadLetterStateNames();
    case Field::kLastOutcome:
      return OutcomeNames();
    case Field::kFinalStatus:
      return FinalStatusNames();
    default:
      return {};
  }
}

bool HasOrder(LiteralType type) {
  return type == LiteralType::kNumber || type == LiteralType::kDuration || type == LiteralType::kSize;
}

bool IsOrderOperator(Operator op) { return op >= Operator::kLess && op <= Operator::kGreaterOrEqual; }

// Converts a literal to the type of its field, because the parser reads `true` as a word and a size without a
// unit as a number.
void ConvertTo(LiteralType type, Literal& value, std::string_view text) {
  if (type == LiteralType::kSize && value.type == LiteralType::kNumber) value.type = LiteralType::kSize;
  if (type != LiteralType::kBool || value.type != LiteralType::kWord) return;
  if (value.text != "true" && value.text != "false") {
    ThrowRuleError(text, value.offset, "expected true or false, found " + value.text);
  }
  value = {LiteralType::kBool, value.text == "true" ? 1 : 0, "", value.offset};
}

void CheckValue(const FieldInfo& info, Literal& value, std::string_view text,
                const std::vector<std::string>& classes) {
  ConvertTo(info.type, value, text);
  if (value.type != info.type) {
    ThrowRuleError(text, value.offset,
                   "expected " + std::string(info.expected) + " for " + std::string(info.name));
  }
  if (value.type != LiteralType::kWord) return;
  const std::vector<std::string> words = AllowedWords(info.field, classes);
  if (!words.empty() && std::find(words.begin(), words.end(), value.text) == words.end()) {
    ThrowRuleError(text, value.offset, "expected one of " + Joined(words) + ", found " + value.text);
  }
}

void CheckRange(const FieldInfo& info, ValueRange& range, std::string_view text,
                const std::vector<std::string>& classes) {
  CheckValue(info, range.from, text, classes);
  if (!range.to) return;
  Literal& to = *range.to;
  if (!HasOrder(info.type)) {
    ThrowRuleError(text, to.offset,
                   "expected no range for " + std::string(info.name) + ", which has no order");
  }
  CheckValue(info, to, text, classes);
  if (to.number < range.from.number) {
    ThrowRuleError(text, to.offset, "expected a range that does not end before it begins");
  }
}

void CheckOperator(const FieldInfo& info, const Condition& comparison, std::string_view text) {
  const std::string& name = comparison.field_name;
  const bool may_stand_alone = info.type == LiteralType::kBool || info.field == Field::kAttribute;
  if (comparison.op == Operator::kPresent && !may_stand_alone) {
    ThrowRuleError(text, comparison.offset + name.size(), "expected =, !=, <, <=, >, >= or in after " + name);
  }
  if (IsOrderOperator(comparison.op) && !HasOrder(info.type)) {
    ThrowRuleError(text, comparison.offset, "expected = , != or in for " + name + ", which has no order");
  }
}

void CheckComparison(Condition& comparison, std::string_view text, const std::vector<std::string>& classes) {
  const auto info = std::find_if(kFields.begin(), kFields.end(), [&](const FieldInfo& candidate) {
    return candidate.name == comparison.field_name;
  });
  if (info == kFields.end()) {
    ThrowRuleError(text, comparison.offset,
                   "expected one of " + Joined(FieldNames()) + ", found " + comparison.field_name);
  }
  comparison.field = info->field;
  CheckOperator(*info, comparison, text);
  for (ValueRange& range : comparison.ranges) CheckRange(*info, range, text, classes);
}

}  // namespace

const FieldInfo& InfoOf(Field field) {
  return *std::find_if(kFields.begin(), kFields.end(),
                       [&](const FieldInfo& info) { return info.field == field; });
}

void CheckTypes(Condition& condition, std::string_view text, const std::vector<std::string>& classes) {
  for (Condition& operand : condition.operands) CheckTypes(operand, text, classes);
  if (condition.kind == Condition::Kind::kComparison) CheckComparison(condition, text, classes);
}

}  // namespace sagetally::dead_letter
