#include "dead_letter/rule_printer.h"

#include <array>
#include <cmath>
#include <string_view>

namespace sagetally::dead_letter {
namespace {

struct DurationUnit {
  std::int64_t microseconds;
  std::string_view name;
};
constexpr std::array<DurationUnit, 5> kDurationUnits = {
    {{86'400'000'000, "d"}, {3'600'000'000, "h"}, {60'000'000, "m"}, {1'000'000, "s"}, {1'000, "ms"}}};
constexpr std::string_view kUnitOfZero = "s";

struct RateUnit {
  double seconds;
  std::string_view name;
};
constexpr std::array<RateUnit, 4> kRateUnits = {{{1.0, "s"}, {60.0, "m"}, {3600.0, "h"}, {86400.0, "d"}}};
constexpr double kRateTolerance = 1e-6;

// In the order of Operator.
constexpr std::array<std::string_view, 8> kSigns = {"", "=", "!=", "<", "<=", ">", ">=", "in"};

std::string Quoted(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + '"';
}

std::string Print(const Literal& value) {
  switch (value.type) {
    case LiteralType::kWord:
      return value.text;
    case LiteralType::kString:
      return Quoted(value.text);
    case LiteralType::kNumber:
      return std::to_string(value.number);
    case LiteralType::kDuration:
      return PrintDuration(Duration(value.number));
    case LiteralType::kSize:
      return std::to_string(value.number) + "b";
    case LiteralType::kBool:
      break;
  }
  return value.number != 0 ? "true" : "false";
}

std::string_view Sign(Operator op) { return kSigns[static_cast<std::size_t>(op)]; }

std::string PrintOperand(const Condition& condition) {
  const bool is_compound = condition.kind == Condition::Kind::kAnd || condition.kind == Condition::Kind::kOr;
  return is_compound ? "(" + Print(condition) + ")" : Print(condition);
}

std::string PrintJoined(const std::vector<Condition>& operands, std::string_view word) {
  std::string text;
  for (const Condition& operand : operands) {
    if (!text.empty()) text += word;
    text += PrintOperand(operand);
  }
  return text;
}

std::string PrintSet(const std::vector<ValueRange>& ranges) {
  std::string text;
  for (const ValueRange& range : ranges) {
    if (!text.empty()) text += ", ";
    text += Print(range.from);
    if (range.to) text += ".." + Print(*range.to);
  }
  return "{" + text + "}";
}

std::string PrintComparison(const Condition& comparison) {
  std::string text = comparison.field_name;
  if (comparison.field_name == "attribute") text += " " + Quoted(comparison.attribute);
  if (comparison.op == Operator::kPresent) return text;
  text += " " + std::string(Sign(comparison.op)) + " ";
  if (comparison.op == Operator::kIn) return text + PrintSet(comparison.ranges);
  return text + Print(comparison.ranges.front().from);
}

// Prints a rate as it is written in a rule: a whole number per second, minute, hour or day, in the shortest
// of these units that allows it.
std::string PrintRate(double rate_per_second) {
  for (const RateUnit& unit : kRateUnits) {
    const double count = rate_per_second * unit.seconds;
    if (std::abs(count - std::round(count)) > kRateTolerance || count < 0.5) continue;
    return std::to_string(std::llround(count)) + "/" + std::string(unit.name);
  }
  return std::to_string(static_cast<std::int64_t>(rate_per_second)) + "/s";
}

std::string PrintAction(const RuleAction& action) {
  if (action.kind == RuleAction::Kind::kHold) return "hold";
  if (action.kind == RuleAction::Kind::kDrop) return "drop";
  const RedriveAction& redrive = action.redrive;
  return "resend rate " + PrintRate(redrive.rate_per_second) + " times " +
         std::to_string(redrive.max_redrives) + " window " + PrintDuration(redrive.max_age) + " deadline " +
         PrintDuration(redrive.call_deadline) + " after " + PrintDuration(redrive.healthy_for);
}

}  // namespace

std::string PrintDuration(Duration duration) {
  const std::int64_t microseconds = duration.count();
  for (const DurationUnit& unit : kDurationUnits) {
    if (microseconds % unit.microseconds != 0) continue;
    if (microseconds == 0 && unit.name != kUnitOfZero) continue;
    return std::to_string(microseconds / unit.microseconds) + std::string(unit.name);
  }
  return std::to_string(microseconds / 1000) + "ms";
}

std::string Print(const Condition& condition) {
  switch (condition.kind) {
    case Condition::Kind::kConstant:
      return condition.constant ? "true" : "false";
    case Condition::Kind::kNot:
      return "not " + PrintOperand(condition.operands.front());
    case Condition::Kind::kAnd:
      return PrintJoined(condition.operands, " and ");
    case Condition::Kind::kOr:
      return PrintJoined(condition.operands, " or ");
    case Condition::Kind::kComparison:
      break;
  }
  return PrintComparison(condition);
}

std::string Print(const Rule& rule) {
  return "rule " + rule.name + ":\n  when " + Print(rule.condition) + "\n  then " + PrintAction(rule.action) +
         ";\n";
}

std::string Print(const RuleSet& rules) {
  std::string text;
  for (const Rule& rule : rules.rules) text += Print(rule);
  return text;
}

}  // namespace sagetally::dead_letter
