// RapidCheck generators of random dead letters, conditions and rules for property tests.
#ifndef SAGETALLY_TESTS_DEAD_LETTER_SAMPLE_H_
#define SAGETALLY_TESTS_DEAD_LETTER_SAMPLE_H_

#undef NDEBUG
#include <rapidcheck.h>

#include <cassert>
#include <cstdio>
#include <string>

#include "dead_letter/dead_letter.h"
#include "dead_letter/redrive_rules.h"
#include "dead_letter/wire_names.h"

namespace sagetally::dead_letter {

inline const std::vector<std::string> kClasses = {"aviso", "pedido", "pagamento"};

inline rc::Gen<std::string> TextGen() {
  return rc::gen::container<std::string>(rc::gen::elementOf(std::string("abc\"\\' %_{}().;#")));
}

inline rc::Gen<DeadLetter> DeadLetterGen() {
  return rc::gen::exec([] {
    DeadLetter dead_letter;
    dead_letter.id = {"n0", *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)};
    dead_letter.class_name = *rc::gen::elementOf(kClasses);
    dead_letter.request.id = *TextGen();
    dead_letter.request.idempotency_key = *TextGen();
    dead_letter.request.destination = *rc::gen::inRange(0, 9);
    for (const char* name : {"source", "type"}) {
      if (*rc::gen::arbitrary<bool>()) dead_letter.request.attributes[name] = *TextGen();
    }
    dead_letter.body_size = static_cast<std::size_t>(*rc::gen::inRange(0, 5000));
    dead_letter.accepted_at = Time(*rc::gen::inRange<std::int64_t>(0, 100)) * 1'000'000;
    dead_letter.ended_at =
        dead_letter.accepted_at + Duration(*rc::gen::inRange<std::int64_t>(0, 100) * 500'000);
    dead_letter.final_status = *rc::gen::element(FinalStatus::kFailed, FinalStatus::kRejected);
    dead_letter.failure_reason = static_cast<FailureReason>(*rc::gen::inRange(1, 10));
    dead_letter.state = static_cast<DeadLetterState>(*rc::gen::inRange(0, kDeadLetterStateCount));
    dead_letter.attempts = *rc::gen::inRange(0, 7);
    dead_letter.redrives = *rc::gen::inRange(0, 4);
    for (int i = 0; i < dead_letter.attempts; ++i) {
      AttemptRecord record;
      record.sent_at = {dead_letter.accepted_at + Duration(i), Time(i + 1), 9};
      record.endpoint = "s-" + std::to_string(i);
      if (*rc::gen::arbitrary<bool>()) record.outcome = static_cast<Outcome>(*rc::gen::inRange(0, 8));
      dead_letter.history.push_back(record);
    }
    if (dead_letter.attempts > 0 && *rc::gen::arbitrary<bool>())
      dead_letter.first_uncertain_attempt = dead_letter.history.front().sent_at;
    return dead_letter;
  });
}

inline Literal LiteralOf(LiteralType type, std::int64_t number, std::string text = "") {
  return {type, number, std::move(text), 0};
}

inline rc::Gen<Condition> ComparisonGen() {
  return rc::gen::exec([] {
    struct FieldKind {
      const char* name;
      LiteralType type;
      bool has_order;
    };
    static const std::vector<FieldKind> kFields = {
        {"class", LiteralType::kWord, false},        {"destination", LiteralType::kNumber, true},
        {"reason", LiteralType::kWord, false},       {"end", LiteralType::kWord, false},
        {"state", LiteralType::kWord, false},        {"age", LiteralType::kDuration, true},
        {"attempts", LiteralType::kNumber, true},    {"resends", LiteralType::kNumber, true},
        {"may_have_run", LiteralType::kBool, false}, {"last_outcome", LiteralType::kWord, false},
        {"body_size", LiteralType::kSize, true},     {"id", LiteralType::kString, false},
        {"key", LiteralType::kString, false},        {"attribute", LiteralType::kString, false}};
    const FieldKind field = *rc::gen::elementOf(kFields);
    Condition condition;
    condition.kind = Condition::Kind::kComparison;
    condition.field_name = field.name;
    if (condition.field_name == "attribute")
      condition.attribute = *rc::gen::element<std::string>("source", "type", "sub\"ject");
    const auto value = [&]() -> Literal {
      switch (field.type) {
        case LiteralType::kNumber:
          return LiteralOf(field.type, *rc::gen::inRange(0, 9));
        case LiteralType::kDuration:
          return LiteralOf(field.type, *rc::gen::inRange<std::int64_t>(0, 200) * 500'000);
        case LiteralType::kSize:
          return LiteralOf(field.type, *rc::gen::inRange(0, 5000));
        case LiteralType::kBool:
          return LiteralOf(field.type, *rc::gen::inRange(0, 2));
        case LiteralType::kString:
          return LiteralOf(field.type, 0, *TextGen());
        case LiteralType::kWord:
          break;
      }
      const std::vector<std::string> words = condition.field_name == "class"    ? kClasses
                                             : condition.field_name == "reason" ? FailureReasonNames()
                                             : condition.field_name == "state"  ? DeadLetterStateNames()
                                             : condition.field_name == "last_outcome"
                                                 ? OutcomeNames()
                                                 : std::vector<std::string>{"undeliverable", "deferred"};
      return LiteralOf(field.type, 0, *rc::gen::elementOf(words));
    };
    std::vector<Operator> operators = {Operator::kEqual, Operator::kNotEqual, Operator::kIn};
    if (field.has_order)
      operators.insert(operators.end(), {Operator::kLess, Operator::kLessOrEqual, Operator::kGreater,
                                         Operator::kGreaterOrEqual});
    if (field.type == LiteralType::kBool || condition.field_name == "attribute")
      operators.push_back(Operator::kPresent);
    condition.op = *rc::gen::elementOf(operators);
    if (condition.op == Operator::kPresent) return condition;
    const int count = condition.op == Operator::kIn ? *rc::gen::inRange(1, 4) : 1;
    for (int i = 0; i < count; ++i) {
      ValueRange range{value(), {}};
      if (condition.op == Operator::kIn && field.has_order && *rc::gen::arbitrary<bool>()) {
        range.to = range.from;
        range.to->number += 1'000'000;
      }
      condition.ranges.push_back(range);
    }
    return condition;
  });
}

inline rc::Gen<Condition> ConditionGen(int depth = 3) {
  return rc::gen::exec([depth] {
    Condition condition;
    switch (depth == 0 ? 0 : *rc::gen::inRange(0, 5)) {
      case 1:
      case 2: {
        condition.kind = *rc::gen::element(Condition::Kind::kAnd, Condition::Kind::kOr);
        const int count = *rc::gen::inRange(2, 4);
        for (int i = 0; i < count; ++i) condition.operands.push_back(*ConditionGen(depth - 1));
        return condition;
      }
      case 3: {
        Condition inner = *ConditionGen(depth - 1);
        if (inner.kind == Condition::Kind::kNot) return inner;  // the parser removes double negations
        condition.kind = Condition::Kind::kNot;
        condition.operands.push_back(std::move(inner));
        return condition;
      }
      case 4:
        condition.constant = *rc::gen::arbitrary<bool>();
        return condition;
      default:
        return *ComparisonGen();
    }
  });
}

inline rc::Gen<RuleSet> RuleSetGen() {
  return rc::gen::exec([] {
    RuleSet set;
    const int rule_count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < rule_count; ++i) {
      Rule rule;
      rule.name = "r" + std::to_string(i);
      rule.condition = *ConditionGen();
      rule.action.kind =
          *rc::gen::element(RuleAction::Kind::kRedrive, RuleAction::Kind::kHold, RuleAction::Kind::kDrop);
      if (rule.action.kind == RuleAction::Kind::kRedrive) {
        RedriveAction& redrive = rule.action.redrive;
        redrive.rate_per_second = *rc::gen::inRange(1, 500) / *rc::gen::element(1.0, 60.0, 3600.0, 86400.0);
        redrive.max_redrives = *rc::gen::inRange(1, 1001);
        redrive.max_age = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000'000));
        redrive.call_deadline = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
        redrive.healthy_for = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
      }
      set.rules.push_back(std::move(rule));
    }
    return set;
  });
}

}  // namespace sagetally::dead_letter

namespace rc {
template <>
struct Arbitrary<sagetally::dead_letter::DeadLetter> {
  static Gen<sagetally::dead_letter::DeadLetter> arbitrary() {
    return sagetally::dead_letter::DeadLetterGen();
  }
};
template <>
struct Arbitrary<sagetally::dead_letter::RuleSet> {
  static Gen<sagetally::dead_letter::RuleSet> arbitrary() { return sagetally::dead_letter::RuleSetGen(); }
};
template <>
struct Arbitrary<sagetally::dead_letter::Condition> {
  static Gen<sagetally::dead_letter::Condition> arbitrary() { return sagetally::dead_letter::ConditionGen(); }
};
}  // namespace rc

#endif  // SAGETALLY_TESTS_DEAD_LETTER_SAMPLE_H_
