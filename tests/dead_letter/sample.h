// Random kept messages, conditions and rules for property tests.
#ifndef SAGETALLY_TESTS_DEAD_LETTER_SAMPLE_H_
#define SAGETALLY_TESTS_DEAD_LETTER_SAMPLE_H_

#undef NDEBUG
#include <rapidcheck.h>

#include <cassert>
#include <cstdio>
#include <string>

#include "dead_letter/redrive_rules.h"

namespace sagetally::kept {

inline const std::vector<std::string> kClasses = {"aviso", "pedido", "pagamento"};

inline rc::Gen<std::string> TextGen() {
  return rc::gen::container<std::string>(rc::gen::elementOf(std::string("abc\"\\' %_{}().;#")));
}

inline rc::Gen<KeptMessage> MessageGen() {
  return rc::gen::exec([] {
    KeptMessage k;
    k.id = {"n0", *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)};
    k.class_name = *rc::gen::elementOf(kClasses);
    k.request.id = *TextGen();
    k.request.key = *TextGen();
    k.request.destination = *rc::gen::inRange(0, 9);
    for (const char* name : {"source", "type"}) {
      if (*rc::gen::arbitrary<bool>()) k.request.attributes[name] = *TextGen();
    }
    k.body_size = static_cast<std::size_t>(*rc::gen::inRange(0, 5000));
    k.taken_at = Time(*rc::gen::inRange<std::int64_t>(0, 100)) * 1'000'000;
    k.ended_at = k.taken_at + Duration(*rc::gen::inRange<std::int64_t>(0, 100) * 500'000);
    k.end = *rc::gen::element(End::kFailed, End::kRefused);
    k.reason = static_cast<Reason>(*rc::gen::inRange(1, 10));
    k.state = static_cast<State>(*rc::gen::inRange(0, kStates));
    k.attempts = *rc::gen::inRange(0, 7);
    k.resends = *rc::gen::inRange(0, 4);
    for (int i = 0; i < k.attempts; ++i) {
      AttemptNote note;
      note.sent = {k.taken_at + Duration(i), Time(i + 1), 9};
      note.endpoint = "s-" + std::to_string(i);
      if (*rc::gen::arbitrary<bool>()) note.outcome = static_cast<Outcome>(*rc::gen::inRange(0, 8));
      k.history.push_back(note);
    }
    if (k.attempts > 0 && *rc::gen::arbitrary<bool>()) k.may_have_run = k.history.front().sent;
    return k;
  });
}

inline Literal LiteralOf(Unit unit, std::int64_t number, std::string text = "") {
  return {unit, number, std::move(text), 0};
}

inline rc::Gen<Condition> ComparisonGen() {
  return rc::gen::exec([] {
    struct Kind {
      const char* name;
      Unit unit;
      bool ordered;
    };
    static const std::vector<Kind> kinds = {
        {"class", Unit::kWord, false},        {"destination", Unit::kNumber, true},
        {"reason", Unit::kWord, false},       {"end", Unit::kWord, false},
        {"state", Unit::kWord, false},        {"age", Unit::kDuration, true},
        {"attempts", Unit::kNumber, true},    {"resends", Unit::kNumber, true},
        {"may_have_run", Unit::kBool, false}, {"last_outcome", Unit::kWord, false},
        {"body_size", Unit::kSize, true},     {"id", Unit::kText, false},
        {"key", Unit::kText, false},          {"attribute", Unit::kText, false}};
    const Kind kind = *rc::gen::elementOf(kinds);
    Condition c;
    c.kind = Condition::Kind::kCompare;
    c.name = kind.name;
    if (c.name == "attribute") c.attribute = *rc::gen::element<std::string>("source", "type", "sub\"ject");
    const auto value = [&]() -> Literal {
      switch (kind.unit) {
        case Unit::kNumber:
          return LiteralOf(kind.unit, *rc::gen::inRange(0, 9));
        case Unit::kDuration:
          return LiteralOf(kind.unit, *rc::gen::inRange<std::int64_t>(0, 200) * 500'000);
        case Unit::kSize:
          return LiteralOf(kind.unit, *rc::gen::inRange(0, 5000));
        case Unit::kBool:
          return LiteralOf(kind.unit, *rc::gen::inRange(0, 2));
        case Unit::kText:
          return LiteralOf(kind.unit, 0, *TextGen());
        case Unit::kWord:
          break;
      }
      const std::vector<std::string> words = c.name == "class"    ? kClasses
                                             : c.name == "reason" ? ReasonNames()
                                             : c.name == "state"  ? StateNames()
                                             : c.name == "last_outcome"
                                                 ? OutcomeNames()
                                                 : std::vector<std::string>{"undeliverable", "deferred"};
      return LiteralOf(kind.unit, 0, *rc::gen::elementOf(words));
    };
    std::vector<Operator> operators = {Operator::kEqual, Operator::kUnequal, Operator::kIn};
    if (kind.ordered)
      operators.insert(operators.end(),
                       {Operator::kLess, Operator::kAtMost, Operator::kMore, Operator::kAtLeast});
    if (kind.unit == Unit::kBool || c.name == "attribute") operators.push_back(Operator::kPresent);
    c.op = *rc::gen::elementOf(operators);
    if (c.op == Operator::kPresent) return c;
    const int n = c.op == Operator::kIn ? *rc::gen::inRange(1, 4) : 1;
    for (int i = 0; i < n; ++i) {
      Range range{value(), {}};
      if (c.op == Operator::kIn && kind.ordered && *rc::gen::arbitrary<bool>()) {
        range.to = range.from;
        range.to->number += 1'000'000;
      }
      c.values.push_back(range);
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
        for (int i = 0; i < n; ++i) c.parts.push_back(*ConditionGen(depth - 1));
        return c;
      }
      case 3: {
        Condition inner = *ConditionGen(depth - 1);
        if (inner.kind == Condition::Kind::kNot) return inner;  // two negations are read as none
        c.kind = Condition::Kind::kNot;
        c.parts.push_back(std::move(inner));
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
      rule.when = *ConditionGen();
      rule.then.kind = *rc::gen::element(Action::Kind::kResend, Action::Kind::kHold, Action::Kind::kDrop);
      if (rule.then.kind == Action::Kind::kResend) {
        Resend& r = rule.then.resend;
        r.rate = *rc::gen::inRange(1, 500) / *rc::gen::element(1.0, 60.0, 3600.0, 86400.0);
        r.times = *rc::gen::inRange(1, 1001);
        r.window = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000'000));
        r.deadline = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
        r.after = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
      }
      set.rules.push_back(std::move(rule));
    }
    return set;
  });
}

}  // namespace sagetally::kept

namespace rc {
template <>
struct Arbitrary<sagetally::kept::KeptMessage> {
  static Gen<sagetally::kept::KeptMessage> arbitrary() { return sagetally::kept::MessageGen(); }
};
template <>
struct Arbitrary<sagetally::kept::RuleSet> {
  static Gen<sagetally::kept::RuleSet> arbitrary() { return sagetally::kept::RuleSetGen(); }
};
template <>
struct Arbitrary<sagetally::kept::Condition> {
  static Gen<sagetally::kept::Condition> arbitrary() { return sagetally::kept::ConditionGen(); }
};
}  // namespace rc

#endif  // SAGETALLY_TESTS_DEAD_LETTER_SAMPLE_H_
