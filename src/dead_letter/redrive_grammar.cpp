// The grammar of the rule language, on Boost.Spirit X3. Expectation points (>) give errors their place and
// what was expected there.
#include <boost/spirit/home/x3.hpp>
#include <boost/spirit/home/x3/support/utility/annotate_on_success.hpp>

#include "dead_letter/redrive_rules.h"

// What an expectation names when it fails: the part that was tried first, not the type that wraps it.
namespace boost::spirit::x3 {
template <typename Subject, typename Action>
struct get_info<action<Subject, Action>> {
  std::string operator()(const action<Subject, Action>& p) const { return what(p.subject); }
};
template <typename Subject>
struct get_info<lexeme_directive<Subject>> {
  std::string operator()(const lexeme_directive<Subject>& p) const { return what(p.subject); }
};
template <typename Left, typename Right>
struct get_info<sequence<Left, Right>> {
  std::string operator()(const sequence<Left, Right>& p) const { return what(p.left); }
};
template <typename Left, typename Right>
struct get_info<list<Left, Right>> {
  std::string operator()(const list<Left, Right>& p) const { return what(p.left); }
};
}  // namespace boost::spirit::x3

namespace sagetally::dead_letter {
namespace {

namespace x3 = boost::spirit::x3;
using Iterator = std::string_view::const_iterator;

struct Start {};  // tag: where the text begins, for offsets

// Where the next token begins. Actions run behind what they belong to, so places are marked in front, by eps.
struct MarkPlace {
  template <typename Context>
  void operator()(Context& context) const {
    auto at = x3::_where(context).begin();
    while (at != x3::_where(context).end() && (*at == ' ' || *at == '\n' || *at == '\t' || *at == '\r')) ++at;
    x3::_val(context).at = static_cast<std::size_t>(at - x3::get<Start>(context).get());
  }
};
const auto mark = x3::eps[MarkPlace()];

// Not x3::space, which may not be asked about bytes over 0x7f.
const auto space = x3::char_(" \t\r\n") | ('#' >> *(x3::char_ - x3::eol) >> (x3::eol | x3::eoi));
const auto letter = x3::char_("a-z") | x3::char_("A-Z") | x3::char_('_');
const auto word_rest = letter | x3::char_("0-9") | x3::char_('-');

auto Keyword(const char* word) { return x3::lexeme[x3::lit(word) >> !word_rest]; }

struct Keywords : x3::symbols<x3::unused_type> {
  Keywords() {
    for (const char* word : {"and", "or", "not", "in", "when", "then", "rule"}) add(word);
  }
};
const Keywords keywords;
const auto reserved = x3::lexeme[keywords >> !word_rest];

struct DurationUnits : x3::symbols<std::int64_t> {
  DurationUnits() {
    add("ms", 1'000)("s", 1'000'000)("m", 60'000'000)("h", 3'600'000'000)("d", 86'400'000'000);
  }
};
const DurationUnits duration_units;
struct SizeUnits : x3::symbols<std::int64_t> {
  SizeUnits() { add("b", 1)("kb", 1024)("mb", 1024 * 1024); }
};
const SizeUnits size_units;
struct RateUnits : x3::symbols<double> {
  RateUnits() { add("s", 1)("m", 60)("h", 3600)("d", 86400); }
};
const RateUnits rate_units;
struct Comparisons : x3::symbols<Operator> {
  Comparisons() {
    add("=", Operator::kEqual)("!=", Operator::kUnequal)("<", Operator::kLess)("<=", Operator::kAtMost)(
        ">", Operator::kMore)(">=", Operator::kAtLeast);
  }
};
const Comparisons comparisons;

constexpr std::int64_t kMostNumber = 1'000'000'000'000;            // keeps products with units in range
constexpr std::int64_t kMostMicroseconds = 1'000'000'000'000'000;  // some 31 years

const x3::uint_parser<std::int64_t, 10, 1, 13> digits{};

// Rules.
const x3::rule<struct WordTag, std::string> word = "a word";
const x3::rule<struct TextTag, std::string> text = "a text in quotes";
const x3::rule<struct NumberTag, std::int64_t> number = "a whole number";
const x3::rule<struct DurationTag, std::int64_t> duration = "a duration, such as 90s or 2h";
const x3::rule<struct SizeTag, std::int64_t> size = "a size, such as 4kb";
const x3::rule<struct LiteralTag, Literal> literal = "a value";
const x3::rule<struct RangeTag, Range> range = "a value or a range";
const x3::rule<struct ComparisonTag, Condition> comparison = "a comparison";
const x3::rule<struct PrimaryTag, Condition> primary = "a condition";
const x3::rule<struct NotTag, Condition> negation = "a condition";
const x3::rule<struct AndTag, Condition> conjunction = "a condition";
const x3::rule<struct OrTag, Condition> disjunction = "a condition";
const x3::rule<struct ResendTag, RedriveAction> resend = "resend";
const x3::rule<struct ActionTag, RuleAction> action = "resend, hold or drop";
const x3::rule<struct RuleTag, Rule> one_rule = "a rule";
const x3::rule<struct FileTag, RuleSet> file = "rules";

const auto word_def = x3::lexeme[!reserved >> letter >> *word_rest];
const auto text_def = x3::lexeme[('"' >> *(('\\' >> x3::char_("\\\"")) | ~x3::char_("\"\\\n"))) > '"'];
const auto most = [](std::int64_t limit) {
  return [limit](auto& context) {
    const std::int64_t value = x3::_attr(context);
    if (value > limit) x3::_pass(context) = false;
    x3::_val(context) = value;
  };
};
const auto number_def = x3::lexeme[digits[most(kMostNumber)] >> !letter];
template <typename Units>
auto Quantity(const Units& units, std::int64_t limit) {
  return x3::lexeme[(digits >> units)[([limit](auto& context) {
                      const std::int64_t n = boost::fusion::at_c<0>(x3::_attr(context));
                      const std::int64_t unit = boost::fusion::at_c<1>(x3::_attr(context));
                      if (n > limit / unit) {
                        x3::_pass(context) = false;
                        return;
                      }
                      x3::_val(context) = n * unit;
                    })] >>
                    !word_rest];
}
const auto duration_def = Quantity(duration_units, kMostMicroseconds);
const auto size_def = Quantity(size_units, kMostNumber);

template <Unit kUnit>
struct SetLiteral {
  template <typename Context>
  void operator()(Context& context) const {
    Literal& value = x3::_val(context);
    value.unit = kUnit;
    if constexpr (kUnit == Unit::kWord || kUnit == Unit::kText) {
      value.text = x3::_attr(context);
    } else {
      value.number = x3::_attr(context);
    }
  }
};
const auto literal_def = mark >> (duration[SetLiteral<Unit::kDuration>()] | size[SetLiteral<Unit::kSize>()] |
                                  number[SetLiteral<Unit::kNumber>()] | text[SetLiteral<Unit::kText>()] |
                                  word[SetLiteral<Unit::kWord>()]);

const auto set_from = [](auto& context) { x3::_val(context).from = x3::_attr(context); };
const auto set_to = [](auto& context) { x3::_val(context).to = x3::_attr(context); };
const auto range_def = literal[set_from] >> -(".." > literal[set_to]);

const auto set_name = [](auto& context) {
  Condition& c = x3::_val(context);
  c.kind = Condition::Kind::kCompare;
  c.name = x3::_attr(context);
};
const auto set_attribute = [](auto& context) {
  Condition& c = x3::_val(context);
  c.kind = Condition::Kind::kCompare;
  c.name = "attribute";
  c.attribute = x3::_attr(context);
};
const auto set_operator = [](auto& context) { x3::_val(context).op = x3::_attr(context); };
const auto set_value = [](auto& context) { x3::_val(context).values = {Range{x3::_attr(context), {}}}; };
const auto set_in = [](auto& context) { x3::_val(context).op = Operator::kIn; };
const auto add_range = [](auto& context) { x3::_val(context).values.push_back(x3::_attr(context)); };
const auto comparison_def = mark >> ((Keyword("attribute") > text[set_attribute]) | word[set_name]) >>
                            -((comparisons[set_operator] > literal[set_value]) |
                              (Keyword("in")[set_in] > '{' > (range[add_range] % ',') > '}'));

const auto set_constant = [](bool constant) {
  return [constant](auto& context) { x3::_val(context).constant = constant; };
};
const auto pass_on = [](auto& context) { x3::_val(context) = std::move(x3::_attr(context)); };
const auto primary_def = ('(' > disjunction[pass_on] > ')') | Keyword("true")[set_constant(true)] |
                         Keyword("false")[set_constant(false)] | comparison[pass_on];

// Two negations are none, which also keeps "not not not ..." from nesting.
const auto negate = [](auto& context) { x3::_val(context).constant = !x3::_val(context).constant; };
const auto close_negation = [](auto& context) {
  const bool plain = x3::_val(context).constant;
  Condition inner = std::move(x3::_attr(context));
  if (plain) {
    x3::_val(context) = std::move(inner);
  } else if (inner.kind == Condition::Kind::kNot) {
    x3::_val(context) = Condition(inner.parts.front());
  } else {
    Condition outer;
    outer.kind = Condition::Kind::kNot;
    outer.parts.push_back(std::move(inner));
    x3::_val(context) = std::move(outer);
  }
};
const auto negation_def = *(Keyword("not")[negate]) >> primary[close_negation];

template <Condition::Kind kKind>
struct Gather {
  template <typename Context>
  void operator()(Context& context) const {
    std::vector<Condition>& parts = x3::_val(context).parts;
    parts.push_back(std::move(x3::_attr(context)));
  }
};
template <Condition::Kind kKind>
struct Close {
  template <typename Context>
  void operator()(Context& context) const {
    Condition& c = x3::_val(context);
    if (c.parts.size() == 1) {
      Condition only = std::move(c.parts.front());
      c = std::move(only);
    } else {
      c.kind = kKind;
    }
  }
};
constexpr auto kAnd = Condition::Kind::kAnd;
constexpr auto kOr = Condition::Kind::kOr;
const auto conjunction_def =
    (negation[Gather<kAnd>()] >> *(Keyword("and") > negation[Gather<kAnd>()]) >> x3::eps[Close<kAnd>()]);
const auto disjunction_def =
    (conjunction[Gather<kOr>()] >> *(Keyword("or") > conjunction[Gather<kOr>()]) >> x3::eps[Close<kOr>()]);

const auto set_rate = [](auto& context) {
  const double n = static_cast<double>(boost::fusion::at_c<0>(x3::_attr(context)));
  if (n < 1) {
    x3::_pass(context) = false;
    return;
  }
  x3::_val(context).rate = n / boost::fusion::at_c<1>(x3::_attr(context));
};
const auto set_times = [](auto& context) {
  const std::int64_t n = x3::_attr(context);
  if (n < 1 || n > 1000) x3::_pass(context) = false;
  x3::_val(context).times = static_cast<int>(n);
};
template <Duration RedriveAction::*kMember>
struct SetDuration {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).*kMember = Duration(x3::_attr(context));
  }
};
const x3::rule<struct RateTag, boost::fusion::deque<std::int64_t, double>> rate = "a rate, such as 5/s";
const auto rate_def = digits > '/' > rate_units;
const x3::rule<struct TimesTag, std::int64_t> times = "a whole number from 1 to 1000";
const auto times_def = number;
const auto resend_def = Keyword("resend")[([](auto&) {})] >>
                        *(-x3::lit(',') >>
                          ((Keyword("rate") > rate[set_rate]) | (Keyword("times") > times[set_times]) |
                           (Keyword("window") > duration[SetDuration<&RedriveAction::window>()]) |
                           (Keyword("deadline") > duration[SetDuration<&RedriveAction::deadline>()]) |
                           (Keyword("after") > duration[SetDuration<&RedriveAction::after>()])));

const auto set_resend = [](auto& context) {
  x3::_val(context) = RuleAction{RuleAction::Kind::kRedrive, x3::_attr(context)};
};
const auto set_hold = [](auto& context) { x3::_val(context).kind = RuleAction::Kind::kHold; };
const auto set_drop = [](auto& context) { x3::_val(context).kind = RuleAction::Kind::kDrop; };
const auto action_def = resend[set_resend] | Keyword("hold")[set_hold] | Keyword("drop")[set_drop];

const auto set_rule_name = [](auto& context) { x3::_val(context).name = x3::_attr(context); };
const auto set_when = [](auto& context) { x3::_val(context).when = std::move(x3::_attr(context)); };
const auto set_then = [](auto& context) { x3::_val(context).then = x3::_attr(context); };
const auto one_rule_def = Keyword("rule") > mark > word[set_rule_name] > ':' >
                          Keyword("when") > disjunction[set_when] > Keyword("then") > action[set_then] > ';';

const auto add_rule = [](auto& context) { x3::_val(context).rules.push_back(std::move(x3::_attr(context))); };
const auto file_def = *(one_rule[add_rule]);

BOOST_SPIRIT_DEFINE(word, text, number, duration, size, literal, range, comparison, primary, negation,
                    conjunction, disjunction, rate, times, resend, action, one_rule, file)

// Guards the parser's own recursion.
void CheckNesting(std::string_view text) {
  std::size_t depth = 0;
  bool quoted = false, comment = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (comment) {
      comment = c != '\n';
    } else if (quoted) {
      if (c == '\\') {
        ++i;
      } else if (c == '"' || c == '\n') {
        quoted = false;
      }
    } else if (c == '"') {
      quoted = true;
    } else if (c == '#') {
      comment = true;
    } else if (c == ')') {
      depth -= depth > 0 ? 1 : 0;
    } else if (c == '(' && ++depth > kMostNesting) {
      throw RuleError(Place(text, i) + ": expected parentheses nested at most " +
                      std::to_string(kMostNesting) + " deep");
    }
  }
}

std::string FoundAt(std::string_view text, std::size_t at) {
  if (at >= text.size()) return "the end";
  const std::string_view rest = text.substr(at);
  return "'" + std::string(rest.substr(0, std::min<std::size_t>(rest.find_first_of(" \t\r\n;"), 24))) + "'";
}

template <typename Parser, typename Result>
void ParseAll(std::string_view text, const Parser& parser, const char* end_expected, Result& result) {
  if (text.size() > kMostRuleText) {
    throw RuleError("line 1, column 1: expected at most " + std::to_string(kMostRuleText) + " bytes");
  }
  CheckNesting(text);
  Iterator at = text.begin();
  const Iterator begin = at, end = text.end();
  const auto fail = [&](Iterator where, const std::string& expected) {
    while (where != end && (*where == ' ' || *where == '\n' || *where == '\t' || *where == '\r')) ++where;
    const auto offset = static_cast<std::size_t>(where - begin);
    throw RuleError(Place(text, offset) + ": expected " + expected + ", found " + FoundAt(text, offset));
  };
  try {
    const auto with_start = x3::with<Start>(std::ref(begin))[parser];
    if (!x3::phrase_parse(at, end, with_start, space, result) || at != end) fail(at, end_expected);
  } catch (const x3::expectation_failure<Iterator>& failure) {
    fail(failure.where(), failure.which());
  }
}

}  // namespace

RuleSet ParseRules(std::string_view text, const std::vector<std::string>& classes) {
  RuleSet rules;
  ParseAll(text, file, "'rule' or the end", rules);
  for (std::size_t i = 0; i < rules.rules.size(); ++i) {
    Rule& rule = rules.rules[i];
    CheckTypes(rule.when, text, classes);
    for (std::size_t j = 0; j < i; ++j) {
      if (rules.rules[j].name != rule.name) continue;
      throw RuleError(Place(text, rule.at) + ": expected a name that no other rule has, found " + rule.name);
    }
  }
  return rules;
}

Condition ParseCondition(std::string_view text, const std::vector<std::string>& classes) {
  Condition condition;
  ParseAll(text, disjunction, "and, or, or the end", condition);
  CheckTypes(condition, text, classes);
  return condition;
}

}  // namespace sagetally::dead_letter
