#include "dead_letter/storage/filter_sql.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

#include "dead_letter/rule_fields.h"
#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {
namespace {

template <typename Enum>
SqlValue StoredNumber(Enum value) {
  return static_cast<std::int64_t>(value);
}

// Returns the stored form of a literal: words of enumerations are stored as numbers.
SqlValue StoredValue(Field field, const Literal& literal) {
  switch (field) {
    case Field::kState:
      return StoredNumber(*ParseDeadLetterState(literal.text));
    case Field::kFailureReason:
      return StoredNumber(*ParseFailureReason(literal.text));
    case Field::kLastOutcome:
      return StoredNumber(*ParseOutcome(literal.text));
    case Field::kFinalStatus:
      return StoredNumber(*ParseFinalStatus(literal.text));
    default:
      break;
  }
  if (literal.type == LiteralType::kWord || literal.type == LiteralType::kString) return literal.text;
  return literal.number;
}

std::string_view SqlOperator(Operator op) {
  switch (op) {
    case Operator::kNotEqual:
      return "!=";
    case Operator::kLess:
      return "<";
    case Operator::kLessOrEqual:
      return "<=";
    case Operator::kGreater:
      return ">";
    case Operator::kGreaterOrEqual:
      return ">=";
    default:
      return "=";
  }
}

Operator Mirrored(Operator op) {
  switch (op) {
    case Operator::kLess:
      return Operator::kGreater;
    case Operator::kLessOrEqual:
      return Operator::kGreaterOrEqual;
    case Operator::kGreater:
      return Operator::kLess;
    case Operator::kGreaterOrEqual:
      return Operator::kLessOrEqual;
    default:
      return op;
  }
}

// Builds one expression from a tree of conditions; parameters are collected in the order of their question
// marks.
class SqlBuilder {
 public:
  explicit SqlBuilder(Time now) : now_(now) {}

  void Append(const Condition& condition) {
    switch (condition.kind) {
      case Condition::Kind::kConstant:
        sql_.text += condition.constant ? "1" : "0";
        return;
      case Condition::Kind::kNot:
        return AppendJoined("(NOT ", condition.operands, "");
      case Condition::Kind::kAnd:
        return AppendJoined("(", condition.operands, " AND ");
      case Condition::Kind::kOr:
        return AppendJoined("(", condition.operands, " OR ");
      case Condition::Kind::kComparison:
        break;
    }
    if (condition.op == Operator::kPresent) return AppendPresence(condition);
    AppendComparison(condition);
  }

  SqlCondition Take() { return std::move(sql_); }

 private:
  void AppendJoined(std::string_view opening, const std::vector<Condition>& operands,
                    std::string_view separator) {
    sql_.text += opening;
    for (std::size_t i = 0; i < operands.size(); ++i) {
      if (i > 0) sql_.text += separator;
      Append(operands[i]);
    }
    sql_.text += ")";
  }

  // Appends the value that the comparison tests. A column is not wrapped in an expression, so that an index
  // can be used.
  void AppendField(const Condition& comparison) {
    if (comparison.field == Field::kAttribute) {
      sql_.text += "json_extract(attributes, ?)";
      sql_.parameters.emplace_back("$." + nlohmann::json(comparison.attribute).dump());
    } else if (comparison.field == Field::kMayHaveRun) {
      sql_.text += "(may_have_run IS NOT NULL)";
    } else {
      sql_.text += InfoOf(comparison.field).column;
    }
  }

  void AppendPresence(const Condition& comparison) {
    const bool is_attribute = comparison.field == Field::kAttribute;
    if (is_attribute) sql_.text += "(";
    AppendField(comparison);
    if (is_attribute) sql_.text += " IS NOT NULL)";
  }

  void AppendComparison(const Condition& comparison) {
    // As in Matches(), an absent attribute makes every comparison false, and never NULL.
    const bool may_be_null = comparison.field == Field::kAttribute;
    sql_.text += may_be_null ? "COALESCE((" : "(";
    for (std::size_t i = 0; i < comparison.ranges.size(); ++i) {
      if (i > 0) sql_.text += " OR ";
      AppendRange(comparison, comparison.ranges[i]);
    }
    sql_.text += may_be_null ? "), 0)" : ")";
  }

  void AppendRange(const Condition& comparison, const ValueRange& range) {
    if (!range.to) return AppendTerm(comparison, comparison.op, range.from);
    sql_.text += "(";
    AppendTerm(comparison, Operator::kGreaterOrEqual, range.from);
    sql_.text += " AND ";
    AppendTerm(comparison, Operator::kLessOrEqual, *range.to);
    sql_.text += ")";
  }

  void AppendTerm(const Condition& comparison, Operator op, const Literal& literal) {
    AppendField(comparison);
    const bool is_age = comparison.field == Field::kAge;
    // The column has the time at which the message completed. A greater age is an earlier time, so the
    // operator is mirrored.
    sql_.text += " " + std::string(SqlOperator(is_age ? Mirrored(op) : op)) + " ?";
    sql_.parameters.push_back(is_age ? SqlValue(now_.count() - literal.number)
                                     : StoredValue(comparison.field, literal));
  }

  const Time now_;
  SqlCondition sql_;
};

}  // namespace

SqlCondition ToSql(const Condition& condition, Time now) {
  SqlBuilder builder(now);
  builder.Append(condition);
  return builder.Take();
}

bool IsCoveredByFilterIndex(const Condition& condition) {
  const bool is_outside = condition.kind == Condition::Kind::kComparison &&
                          (condition.field == Field::kId || condition.field == Field::kKey ||
                           condition.field == Field::kAttribute);
  return !is_outside &&
         std::all_of(condition.operands.begin(), condition.operands.end(), IsCoveredByFilterIndex);
}

}  // namespace sagetally::dead_letter
