// Random kept messages, conditions and rules for property tests.
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

inline rc::Gen<DeadLetter> MessageGen() {
  return rc::gen::exec([] {
    DeadLetter k;
    k.id = {"n0", *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)};
    k.class_name = *rc::gen::elementOf(kClasses);
    k.request.id = *TextGen();
    k.request.idempotency_key = *TextGen();
    k.request.destination = *rc::gen::inRange(0, 9);
    for (const char* name : {"source", "type"}) {
      if (*rc::gen::arbitrary<bool>()) k.request.attributes[name] = *TextGen();
    }
    k.body_size = static_cast<std::size_t>(*rc::gen::inRange(0, 5000));
    k.accepted_at = Time(*rc::gen::inRange<std::int64_t>(0, 100)) * 1'000'000;
    k.ended_at = k.accepted_at + Duration(*rc::gen::inRange<std::int64_t>(0, 100) * 500'000);
    k.final_status = *rc::gen::element(FinalStatus::kFailed, FinalStatus::kRejected);
    k.failure_reason = static_cast<FailureReason>(*rc::gen::inRange(1, 10));
    k.state = static_cast<DeadLetterState>(*rc::gen::inRange(0, kDeadLetterStateCount));
    k.attempts = *rc::gen::inRange(0, 7);
    k.redrives = *rc::gen::inRange(0, 4);
    for (int i = 0; i < k.attempts; ++i) {
      AttemptRecord note;
      note.sent_at = {k.accepted_at + Duration(i), Time(i + 1), 9};
      note.endpoint = "s-" + std::to_string(i);
      if (*rc::gen::arbitrary<bool>()) note.outcome = static_cast<Outcome>(*rc::gen::inRange(0, 8));
      k.history.push_back(note);
    }
    if (k.attempts > 0 && *rc::gen::arbitrary<bool>()) k.first_uncertain_attempt = k.history.front().sent_at;
    return k;
  });
}

inline Literal LiteralOf(LiteralType type, std::int64_t number, std::string text = "") {
  return {type, number, std::move(text), 0};
}

inline rc::Gen<Condition> ComparisonGen() {
  return rc::gen::exec([] {
    struct Kind {
      const char* name;
      LiteralType type;
      bool ordered;
    };
    static const std::vector<Kind> kinds = {
        {"class", LiteralType::kWord, false},        {"destination", LiteralType::kNumber, true},
        {"reason", LiteralType::kWord, false},       {"end", LiteralType::kWord, false},
        {"state", LiteralType::kWord, false},        {"age", LiteralType::kDuration, true},
        {"attempts", LiteralType::kNumber, true},    {"resends", LiteralType::kNumber, true},
        {"may_have_run", LiteralType::kBool, false}, {"last_outcome", LiteralType::kWord, false},
        {"body_size", LiteralType::kSize, true},     {"id", LiteralType::kString, false},
        {"key", LiteralType::kString, false},        {"attribute", LiteralType::kString, false}};
    const Kind kind = *rc::gen::elementOf(kinds);
    Condition c;
    c.kind = Condition::Kind::kComparison;
    c.field_name = kind.name;
    if (c.field_name == "attribute")
      c.attribute = *rc::gen::element<std::string>("source", "type", "sub\"ject");
    const auto value = [&]() -> Literal {
      switch (kind.type) {
        case LiteralType::kNumber:
          return LiteralOf(kind.type, *rc::gen::inRange(0, 9));
        case LiteralType::kDuration:
          return LiteralOf(kind.type, *rc::gen::inRange<std::int64_t>(0, 200) * 500'000);
        case LiteralType::kSize:
          return LiteralOf(kind.type, *rc::gen::inRange(0, 5000));
        case LiteralType::kBool:
          return LiteralOf(kind.type, *rc::gen::inRange(0, 2));
        case LiteralType::kString:
          return LiteralOf(kind.type, 0, *TextGen());
        case LiteralType::kWord:
          break;
      }
      const std::vector<std::string> words = c.field_name == "class"    ? kClasses
                                             : c.field_name == "reason" ? FailureReasonNames()
                                             : c.field_name == "state"  ? DeadLetterStateNames()
                                             : c.field_name == "last_outcome"
                                                 ? OutcomeNames()
                                                 : std::vector<std::string>{"undeliverable", "deferred"};
      return LiteralOf(kind.type, 0, *rc::gen::elementOf(words));
    };
    std::vector<Operator> operators = {Operator::kEqual, Operator::kNotEqual, Operator::kIn};
    if (kind.ordered)
      operators.insert(operators.end(), {Operator::kLess, Operator::kLessOrEqual, Operator::kGreater,
                                         Operator::kGreaterOrEqual});
    if (kind.type == LiteralType::kBool || c.field_name == "attribute")
      operators.push_back(Operator::kPresent);
    c.op = *rc::gen::elementOf(operators);
    if (c.op == Operator::kPresent) return c;
    const int n = c.op == Operator::kIn ? *rc::gen::inRange(1, 4) : 1;
    for (int i = 0; i < n; ++i) {
      ValueRange range{value(), {}};
      if (c.op == Operator::kIn && kind.ordered && *rc::gen::arbitrary<bool>()) {
        range.to = range.from;
        range.to->number += 1'000'000;
      }
      c.ranges.push_back(range);
    }
    return c;
  });
}

inline rc::Gen<Condition> ConditionGen(int depth = 3) {
  return rc::gen::exec([depth] {
    Condition c;
    switch (depth == 0 ? 0 : *rc::gen::inRange(0, 5)) {
      case 1:
      case 2: {
        c.kind = *rc::gen::element(Condition::Kind::kAnd, Condition::Kind::kOr);
        const int n = *rc::gen::inRange(2, 4);
        for (int i = 0; i < n; ++i) c.operands.push_back(*ConditionGen(depth - 1));
        return c;
      }
      case 3: {
        Condition inner = *ConditionGen(depth - 1);
        if (inner.kind == Condition::Kind::kNot) return inner;  // two negations are read as none
        c.kind = Condition::Kind::kNot;
        c.operands.push_back(std::move(inner));
        return c;
      }
      case 4:
        c.constant = *rc::gen::arbitrary<bool>();
        return c;
      default:
        return *ComparisonGen();
    }
  });
}

inline rc::Gen<RuleSet> RuleSetGen() {
  return rc::gen::exec([] {
    RuleSet set;
    const int n = *rc::gen::inRange(0, 4);
    for (int i = 0; i < n; ++i) {
      Rule rule;
      rule.name = "r" + std::to_string(i);
      rule.condition = *ConditionGen();
      rule.action.kind =
          *rc::gen::element(RuleAction::Kind::kRedrive, RuleAction::Kind::kHold, RuleAction::Kind::kDrop);
      if (rule.action.kind == RuleAction::Kind::kRedrive) {
        RedriveAction& r = rule.action.redrive;
        r.rate_per_second = *rc::gen::inRange(1, 500) / *rc::gen::element(1.0, 60.0, 3600.0, 86400.0);
        r.max_redrives = *rc::gen::inRange(1, 1001);
        r.max_age = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000'000));
        r.call_deadline = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
        r.healthy_for = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
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
  static Gen<sagetally::dead_letter::DeadLetter> arbitrary() { return sagetally::dead_letter::MessageGen(); }
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
