#include "dead_letter/redrive_rules.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace sagetally::dead_letter {
namespace {

struct FieldInfo {
  std::string_view name;
  Field field;
  Unit unit;
  std::string_view expected;
  std::string_view column;
};

constexpr std::array<FieldInfo, 14> kFields = {{
    {"class", Field::kClass, Unit::kWord, "a class", "class"},
    {"destination", Field::kDestination, Unit::kNumber, "a whole number", "destination"},
    {"reason", Field::kReason, Unit::kWord, "a reason", "reason"},
    {"end", Field::kEnd, Unit::kWord, "undeliverable or deferred", "end"},
    {"state", Field::kState, Unit::kWord, "a state", "state"},
    {"age", Field::kAge, Unit::kDuration, "a duration, such as 90s or 2h", "ended_at"},
    {"attempts", Field::kAttempts, Unit::kNumber, "a whole number", "attempts"},
    {"resends", Field::kResends, Unit::kNumber, "a whole number", "resends"},
    {"may_have_run", Field::kMayHaveRun, Unit::kBool, "true or false", "may_have_run"},
    {"last_outcome", Field::kLastOutcome, Unit::kWord, "an outcome", "last_outcome"},
    {"body_size", Field::kBodySize, Unit::kSize, "a size, such as 4kb", "body_size"},
    {"id", Field::kId, Unit::kText, "a text in quotes", "id"},
    {"key", Field::kKey, Unit::kText, "a text in quotes", "key"},
    {"attribute", Field::kAttribute, Unit::kText, "a text in quotes", "attributes"},
}};

const FieldInfo& InfoOf(Field field) {
  return *std::find_if(kFields.begin(), kFields.end(), [&](const FieldInfo& f) { return f.field == field; });
}

std::string Joined(const std::vector<std::string>& words) {
  std::string all;
  for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
  return all;
}

[[noreturn]] void Wrong(std::string_view text, std::size_t at, const std::string& what) {
  throw RuleError(Place(text, at) + ": " + what);
}

std::vector<std::string> WordsOf(Field field, const std::vector<std::string>& classes) {
  switch (field) {
    case Field::kClass:
      return classes;
    case Field::kReason:
      return ReasonNames();
    case Field::kState:
      return StateNames();
    case Field::kLastOutcome:
      return OutcomeNames();
    case Field::kEnd:
      return {"undeliverable", "deferred"};
    default:
      return {};
  }
}

void CheckValue(const FieldInfo& info, Literal& value, std::string_view text,
                const std::vector<std::string>& classes) {
  if (info.unit == Unit::kSize && value.unit == Unit::kNumber) value.unit = Unit::kSize;  // bytes
  if (info.unit == Unit::kBool && value.unit == Unit::kWord) {
    if (value.text != "true" && value.text != "false") {
      Wrong(text, value.at, "expected true or false, found " + value.text);
    }
    value = {Unit::kBool, value.text == "true" ? 1 : 0, "", value.at};
  }
  if (value.unit != info.unit) {
    Wrong(text, value.at, "expected " + std::string(info.expected) + " for " + std::string(info.name));
  }
  if (value.unit != Unit::kWord) return;
  const std::vector<std::string> words = WordsOf(info.field, classes);
  if (!words.empty() && std::find(words.begin(), words.end(), value.text) == words.end()) {
    Wrong(text, value.at, "expected one of " + Joined(words) + ", found " + value.text);
  }
}

std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + '"';
}

std::string Print(const Literal& value) {
  switch (value.unit) {
    case Unit::kWord:
      return value.text;
    case Unit::kText:
      return Quoted(value.text);
    case Unit::kNumber:
      return std::to_string(value.number);
    case Unit::kDuration:
      return PrintDuration(Duration(value.number));
    case Unit::kSize:
      return std::to_string(value.number) + "b";
    case Unit::kBool:
      break;
  }
  return value.number != 0 ? "true" : "false";
}

std::string_view Sign(Operator op) {
  constexpr std::array<std::string_view, 8> kSigns = {"", "=", "!=", "<", "<=", ">", ">=", "in"};
  return kSigns[static_cast<std::size_t>(op)];
}

using Value = std::variant<std::int64_t, std::string_view>;

Value ValueOf(const Literal& literal) {
  if (literal.unit == Unit::kWord || literal.unit == Unit::kText) return std::string_view(literal.text);
  return literal.number;
}

// The field's value in a message; nothing where an attribute is absent.
std::optional<Value> ValueOf(const Condition& c, const DeadLetter& k, Time now) {
  switch (c.field) {
    case Field::kClass:
      return std::string_view(k.class_name);
    case Field::kDestination:
      return std::int64_t{k.request.destination};
    case Field::kReason:
      return Name(k.failure_reason);
    case Field::kEnd:
      return Name(k.final_status);
    case Field::kState:
      return Name(k.state);
    case Field::kAge:
      return (now - k.ended_at).count();
    case Field::kAttempts:
      return std::int64_t{k.attempts};
    case Field::kResends:
      return std::int64_t{k.redrives};
    case Field::kMayHaveRun:
      return std::int64_t{k.first_uncertain_attempt ? 1 : 0};
    case Field::kLastOutcome:
      return Name(k.LastOutcome());
    case Field::kBodySize:
      return static_cast<std::int64_t>(k.body_size);
    case Field::kId:
      return std::string_view(k.request.id);
    case Field::kKey:
      return std::string_view(k.request.idempotency_key);
    case Field::kAttribute:
      break;
  }
  const auto at = k.request.attributes.find(c.attribute);
  if (at == k.request.attributes.end()) return std::nullopt;
  return std::string_view(at->second);
}

bool Holds(const Condition& c, const Value& value) {
  const auto first = [&] { return ValueOf(c.values.front().from); };
  switch (c.op) {
    case Operator::kPresent:
      return !std::holds_alternative<std::int64_t>(value) || std::get<std::int64_t>(value) != 0;
    case Operator::kEqual:
      return value == first();
    case Operator::kUnequal:
      return value != first();
    case Operator::kLess:
      return value < first();
    case Operator::kAtMost:
      return value <= first();
    case Operator::kMore:
      return value > first();
    case Operator::kAtLeast:
      return value >= first();
    case Operator::kIn:
      break;
  }
  return std::any_of(c.values.begin(), c.values.end(), [&](const Range& range) {
    if (!range.to) return value == ValueOf(range.from);
    return value >= ValueOf(range.from) && value <= ValueOf(*range.to);
  });
}

// Every age at which a comparison of the condition changes.
void Ages(const Condition& c, std::vector<std::int64_t>& ages) {
  for (const Condition& part : c.parts) Ages(part, ages);
  if (c.kind != Condition::Kind::kCompare || c.field != Field::kAge) return;
  for (const Range& range : c.values) {
    for (const auto* value : {&range.from, range.to ? &*range.to : nullptr}) {
      if (value == nullptr) continue;
      ages.push_back(value->number);
      ages.push_back(value->number + 1);  // where the bound itself still belongs to the other side
    }
  }
}

std::string SqlOne(const std::string& column, std::string_view sign, const Literal& literal,
                   const Condition& c, Time now, SqlCondition& out) {
  // Age grows as the column, the time of the end, falls.
  if (c.field == Field::kAge) {
    out.values.emplace_back(now.count() - literal.number);
    std::string turned(sign);
    if (turned[0] == '<') {
      turned[0] = '>';
    } else if (turned[0] == '>') {
      turned[0] = '<';
    }
    return column + " " + turned + " ?";
  }
  if (c.field == Field::kState) {
    out.values.emplace_back(static_cast<std::int64_t>(*StateNamed(literal.text)));
  } else if (c.field == Field::kReason) {
    out.values.emplace_back(static_cast<std::int64_t>(*ReasonNamed(literal.text)));
  } else if (c.field == Field::kLastOutcome) {
    out.values.emplace_back(static_cast<std::int64_t>(*OutcomeNamed(literal.text)));
  } else if (c.field == Field::kEnd) {
    out.values.emplace_back(static_cast<std::int64_t>(literal.text == "deferred" ? FinalStatus::kRejected
                                                                                 : FinalStatus::kFailed));
  } else if (literal.unit == Unit::kWord || literal.unit == Unit::kText) {
    out.values.emplace_back(literal.text);
  } else {
    out.values.emplace_back(literal.number);
  }
  return column + " " + std::string(sign) + " ?";
}

void Sql(const Condition& c, Time now, SqlCondition& out) {
  if (c.kind == Condition::Kind::kConstant) {
    out.text += c.constant ? "1" : "0";
    return;
  }
  if (c.kind != Condition::Kind::kCompare) {
    out.text += c.kind == Condition::Kind::kNot ? "(NOT " : "(";
    for (std::size_t i = 0; i < c.parts.size(); ++i) {
      if (i > 0) out.text += c.kind == Condition::Kind::kAnd ? " AND " : " OR ";
      Sql(c.parts[i], now, out);
    }
    out.text += ")";
    return;
  }
  std::string column(InfoOf(c.field).column);
  const auto path = [&] { out.values.emplace_back("$." + nlohmann::json(c.attribute).dump()); };
  if (c.field == Field::kAttribute) column = "json_extract(attributes, ?)";
  if (c.field == Field::kMayHaveRun) column = "(may_have_run IS NOT NULL)";
  if (c.op == Operator::kPresent) {
    if (c.field == Field::kAttribute) path();
    out.text += c.field == Field::kAttribute ? "(" + column + " IS NOT NULL)" : column;
    return;
  }
  // An absent attribute makes every comparison false, as in Matches, and never unknown. Columns are never
  // absent, and an index serves only what stands bare.
  const bool may_be_absent = c.field == Field::kAttribute;
  out.text += may_be_absent ? "COALESCE((" : "(";
  for (std::size_t i = 0; i < c.values.size(); ++i) {
    const Range& range = c.values[i];
    if (i > 0) out.text += " OR ";
    if (c.field == Field::kAttribute) path();
    if (!range.to) {
      out.text += SqlOne(column, c.op == Operator::kIn ? "=" : Sign(c.op), range.from, c, now, out);
      continue;
    }
    out.text += "(" + SqlOne(column, ">=", range.from, c, now, out) + " AND ";
    if (c.field == Field::kAttribute) path();
    out.text += SqlOne(column, "<=", *range.to, c, now, out) + ")";
  }
  out.text += may_be_absent ? "), 0)" : ")";
}

std::string PrintPart(const Condition& c) {
  const bool compound = c.kind == Condition::Kind::kAnd || c.kind == Condition::Kind::kOr;
  return compound ? "(" + Print(c) + ")" : Print(c);
}

}  // namespace

std::string Place(std::string_view text, std::size_t at) {
  at = std::min(at, text.size());
  const std::string_view before = text.substr(0, at);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t start = before.rfind('\n') == before.npos ? 0 : before.rfind('\n') + 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(at - start + 1);
}

void CheckTypes(Condition& c, std::string_view text, const std::vector<std::string>& classes) {
  for (Condition& part : c.parts) CheckTypes(part, text, classes);
  if (c.kind != Condition::Kind::kCompare) return;
  const auto info =
      std::find_if(kFields.begin(), kFields.end(), [&](const FieldInfo& f) { return f.name == c.name; });
  if (info == kFields.end()) {
    std::vector<std::string> names;
    for (const FieldInfo& f : kFields) names.emplace_back(f.name);
    Wrong(text, c.at, "expected one of " + Joined(names) + ", found " + c.name);
  }
  c.field = info->field;
  const bool ordered =
      info->unit == Unit::kNumber || info->unit == Unit::kDuration || info->unit == Unit::kSize;
  const bool alone = info->unit == Unit::kBool || c.field == Field::kAttribute;
  if (c.op == Operator::kPresent && !alone) {
    Wrong(text, c.at + c.name.size(), "expected =, !=, <, <=, >, >= or in after " + c.name);
  }
  if (c.op >= Operator::kLess && c.op <= Operator::kAtLeast && !ordered) {
    Wrong(text, c.at, "expected = , != or in for " + c.name + ", which has no order");
  }
  for (Range& range : c.values) {
    CheckValue(*info, range.from, text, classes);
    if (!range.to) continue;
    if (!ordered) Wrong(text, range.to->at, "expected no range for " + c.name + ", which has no order");
    CheckValue(*info, *range.to, text, classes);
    if (range.to->number < range.from.number) {
      Wrong(text, range.to->at, "expected a range that does not end before it begins");
    }
  }
}

std::string PrintDuration(Duration d) {
  constexpr std::pair<std::int64_t, const char*> kUnits[] = {
      {86'400'000'000, "d"}, {3'600'000'000, "h"}, {60'000'000, "m"}, {1'000'000, "s"}, {1'000, "ms"}};
  for (const auto& [us, unit] : kUnits) {
    if (d.count() % us == 0 && (d.count() != 0 || us == 1'000'000)) {
      return std::to_string(d.count() / us) + unit;
    }
  }
  return std::to_string(d.count() / 1000) + "ms";
}

std::string Print(const Condition& c) {
  switch (c.kind) {
    case Condition::Kind::kConstant:
      return c.constant ? "true" : "false";
    case Condition::Kind::kNot:
      return "not " + PrintPart(c.parts.front());
    case Condition::Kind::kAnd:
    case Condition::Kind::kOr: {
      std::string all;
      for (const Condition& part : c.parts) {
        if (!all.empty()) all += c.kind == Condition::Kind::kAnd ? " and " : " or ";
        all += PrintPart(part);
      }
      return all;
    }
    case Condition::Kind::kCompare:
      break;
  }
  std::string out = c.name;
  if (c.name == "attribute") out += " " + Quoted(c.attribute);
  if (c.op == Operator::kPresent) return out;
  out += " " + std::string(Sign(c.op)) + " ";
  if (c.op != Operator::kIn) return out + Print(c.values.front().from);
  out += "{";
  for (std::size_t i = 0; i < c.values.size(); ++i) {
    out += (i == 0 ? "" : ", ") + Print(c.values[i].from);
    if (c.values[i].to) out += ".." + Print(*c.values[i].to);
  }
  return out + "}";
}

std::string Print(const Rule& rule) {
  std::string out = "rule " + rule.name + ":\n  when " + Print(rule.when) + "\n  then ";
  if (rule.then.kind == RuleAction::Kind::kHold) return out + "hold;\n";
  if (rule.then.kind == RuleAction::Kind::kDrop) return out + "drop;\n";
  const RedriveAction& r = rule.then.redrive;
  // The rate is a whole number by second, minute, hour or day, as it was written.
  std::string rate = std::to_string(static_cast<std::int64_t>(r.rate)) + "/s";
  for (const auto& [unit, seconds] : {std::pair{"s", 1.0}, {"m", 60.0}, {"h", 3600.0}, {"d", 86400.0}}) {
    const double n = r.rate * seconds;
    if (std::abs(n - std::round(n)) > 1e-6 || n < 0.5) continue;
    rate = std::to_string(static_cast<std::int64_t>(std::llround(n))) + "/" + unit;
    break;
  }
  return out + "resend rate " + rate + " times " + std::to_string(r.times) + " window " +
         PrintDuration(r.window) + " deadline " + PrintDuration(r.deadline) + " after " +
         PrintDuration(r.after) + ";\n";
}

std::string Print(const RuleSet& rules) {
  std::string out;
  for (const Rule& rule : rules.rules) out += Print(rule);
  return out;
}

bool Matches(const Condition& c, const DeadLetter& k, Time now) {
  const auto matches = [&](const Condition& part) { return Matches(part, k, now); };
  switch (c.kind) {
    case Condition::Kind::kConstant:
      return c.constant;
    case Condition::Kind::kAnd:
      return std::all_of(c.parts.begin(), c.parts.end(), matches);
    case Condition::Kind::kOr:
      return std::any_of(c.parts.begin(), c.parts.end(), matches);
    case Condition::Kind::kNot:
      return !matches(c.parts.front());
    case Condition::Kind::kCompare:
      break;
  }
  const std::optional<Value> value = ValueOf(c, k, now);
  return value && Holds(c, *value);
}

const Rule* FirstMatch(const RuleSet& rules, const DeadLetter& k, Time now) {
  for (const Rule& rule : rules.rules) {
    if (Matches(rule.when, k, now)) return &rule;
  }
  return nullptr;
}

std::optional<Time> NextChange(const RuleSet& rules, const DeadLetter& k, Time now) {
  std::vector<std::int64_t> ages;
  for (const Rule& rule : rules.rules) Ages(rule.when, ages);
  std::optional<Time> next;
  for (const std::int64_t age : ages) {
    const Time at = k.ended_at + Duration(age);
    if (at > now && (!next || at < *next)) next = at;
  }
  return next;
}

bool InFilterIndex(const Condition& c) {
  const bool outside = c.kind == Condition::Kind::kCompare &&
                       (c.field == Field::kId || c.field == Field::kKey || c.field == Field::kAttribute);
  return !outside && std::all_of(c.parts.begin(), c.parts.end(), InFilterIndex);
}

SqlCondition ToSql(const Condition& condition, Time now) {
  SqlCondition out;
  Sql(condition, now, out);
  return out;
}

}  // namespace sagetally::dead_letter
