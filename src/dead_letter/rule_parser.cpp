// The grammar of the rule language, written with Boost.Spirit X3. Expectation points (>) provide the position
// of an error and the name of the grammar rule that was expected there. Semantic actions run after their
// parser has matched, so the offset of a token is recorded by an eps parser in front of it.
#include "dead_letter/rule_parser.h"

#include <algorithm>
#include <boost/spirit/home/x3.hpp>
#include <boost/spirit/home/x3/support/utility/annotate_on_success.hpp>

#include "dead_letter/rule_fields.h"

// Makes the error of a failed expectation name the parser that was tried first, instead of the parser type
// that wraps it.
namespace boost::spirit::x3 {
template <typename Subject, typename Action>
struct get_info<action<Subject, Action>> {
  std::string operator()(const action<Subject, Action>& parser) const { return what(parser.subject); }
};
template <typename Subject>
struct get_info<lexeme_directive<Subject>> {
  std::string operator()(const lexeme_directive<Subject>& parser) const { return what(parser.subject); }
};
template <typename Left, typename Right>
struct get_info<sequence<Left, Right>> {
  std::string operator()(const sequence<Left, Right>& parser) const { return what(parser.left); }
};
template <typename Left, typename Right>
struct get_info<list<Left, Right>> {
  std::string operator()(const list<Left, Right>& parser) const { return what(parser.left); }
};
}  // namespace boost::spirit::x3

namespace sagetally::dead_letter {
namespace {

namespace x3 = boost::spirit::x3;
using Iterator = std::string_view::const_iterator;

// The grammar's rules and actions have lower-case names, as in Spirit's own grammars: BOOST_SPIRIT_DEFINE
// finds the definition of a rule by its name, as NAME_def.

// NOLINTBEGIN(readability-identifier-naming)

// Tag of the context entry with the beginning of the text, from which offsets are counted.
struct TextBegin {};

bool IsSpace(char c) { return c == ' ' || c == '\n' || c == '\t' || c == '\r'; }

Iterator SkipSpace(Iterator position, Iterator end) { return std::find_if_not(position, end, IsSpace); }

// Records the offset of the next token.
struct RecordOffset {
  template <typename Context>
  void operator()(Context& context) const {
    const Iterator token = SkipSpace(x3::_where(context).begin(), x3::_where(context).end());
    x3::_val(context).offset = static_cast<std::size_t>(token - x3::get<TextBegin>(context).get());
  }
};
const auto record_offset = x3::eps[RecordOffset()];

// Does not use x3::space, which is undefined for bytes above 0x7f.
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
    add("=", Operator::kEqual)("!=", Operator::kNotEqual)("<", Operator::kLess)("<=", Operator::kLessOrEqual)(
        ">", Operator::kGreater)(">=", Operator::kGreaterOrEqual);
  }
};
const Comparisons comparisons;

constexpr std::int64_t kMaxNumber = 1'000'000'000'000;            // keeps products with units in range
constexpr std::int64_t kMaxMicroseconds = 1'000'000'000'000'000;  // about 31 years
constexpr std::int64_t kMaxRedrives = 1000;

const x3::uint_parser<std::int64_t, 10, 1, 13> digits{};

// Errors use these names to say what was expected.
const x3::rule<struct WordTag, std::string> word = "a word";
const x3::rule<struct TextTag, std::string> text = "a quoted string";
const x3::rule<struct NumberTag, std::int64_t> number = "a whole number";
const x3::rule<struct DurationTag, std::int64_t> duration = "a duration, such as 90s or 2h";
const x3::rule<struct SizeTag, std::int64_t> size = "a size, such as 4kb";
const x3::rule<struct LiteralTag, Literal> literal = "a value";
const x3::rule<struct RangeTag, ValueRange> range = "a value or a range";
const x3::rule<struct ComparisonTag, Condition> comparison = "a comparison";
const x3::rule<struct PrimaryTag, Condition> primary = "a condition";
const x3::rule<struct NotTag, Condition> negation = "a condition";
const x3::rule<struct AndTag, Condition> conjunction = "a condition";
const x3::rule<struct OrTag, Condition> disjunction = "a condition";
const x3::rule<struct RedriveTag, RedriveAction> redrive = "resend";
const x3::rule<struct ActionTag, RuleAction> action = "resend, hold or drop";
const x3::rule<struct RuleTag, Rule> one_rule = "a rule";
const x3::rule<struct FileTag, RuleSet> file = "rules";

const auto word_def = x3::lexeme[!reserved >> letter >> *word_rest];
const auto text_def = x3::lexeme[('"' >> *(('\\' >> x3::char_("\\\"")) | ~x3::char_("\"\\\n"))) > '"'];

// Sets the number. Fails the parse if it exceeds the limit.
struct SetNumber {
  std::int64_t limit;
  template <typename Context>
  void operator()(Context& context) const {
    const std::int64_t value = x3::_attr(context);
    if (value > limit) x3::_pass(context) = false;
    x3::_val(context) = value;
  }
};
const auto number_def = x3::lexeme[digits[SetNumber{kMaxNumber}] >> !letter];

// Sets the product of a number and its unit. Fails the parse if the product exceeds the limit.
struct SetQuantity {
  std::int64_t limit;
  template <typename Context>
  void operator()(Context& context) const {
    const std::int64_t count = boost::fusion::at_c<0>(x3::_attr(context));
    const std::int64_t unit = boost::fusion::at_c<1>(x3::_attr(context));
    if (count > limit / unit) {
      x3::_pass(context) = false;
      return;
    }
    x3::_val(context) = count * unit;
  }
};
template <typename Units>
auto Quantity(const Units& units, std::int64_t limit) {
  return x3::lexeme[(digits >> units)[SetQuantity{limit}] >> !word_rest];
}
const auto duration_def = Quantity(duration_units, kMaxMicroseconds);
const auto size_def = Quantity(size_units, kMaxNumber);

template <LiteralType kType>
struct SetLiteral {
  template <typename Context>
  void operator()(Context& context) const {
    Literal& value = x3::_val(context);
    value.type = kType;
    if constexpr (kType == LiteralType::kWord || kType == LiteralType::kString) {
      value.text = x3::_attr(context);
    } else {
      value.number = x3::_attr(context);
    }
  }
};
const auto literal_def = record_offset >>
                         (duration[SetLiteral<LiteralType::kDuration>()] |
                          size[SetLiteral<LiteralType::kSize>()] |
                          number[SetLiteral<LiteralType::kNumber>()] |
                          text[SetLiteral<LiteralType::kString>()] | word[SetLiteral<LiteralType::kWord>()]);

const auto set_from = [](auto& context) { x3::_val(context).from = x3::_attr(context); };
const auto set_to = [](auto& context) { x3::_val(context).to = x3::_attr(context); };
const auto range_def = literal[set_from] >> -(".." > literal[set_to]);

const auto set_field_name = [](auto& context) {
  Condition& comparison = x3::_val(context);
  comparison.kind = Condition::Kind::kComparison;
  comparison.field_name = x3::_attr(context);
};
const auto set_attribute = [](auto& context) {
  Condition& comparison = x3::_val(context);
  comparison.kind = Condition::Kind::kComparison;
  comparison.field_name = "attribute";
  comparison.attribute = x3::_attr(context);
};
const auto set_operator = [](auto& context) { x3::_val(context).op = x3::_attr(context); };
const auto set_value = [](auto& context) { x3::_val(context).ranges = {ValueRange{x3::_attr(context), {}}}; };
const auto set_in = [](auto& context) { x3::_val(context).op = Operator::kIn; };
const auto add_range = [](auto& context) { x3::_val(context).ranges.push_back(x3::_attr(context)); };
const auto comparison_def = record_offset >>
                            ((Keyword("attribute") > text[set_attribute]) | word[set_field_name]) >>
                            -((comparisons[set_operator] > literal[set_value]) |
                              (Keyword("in")[set_in] > '{' > (range[add_range] % ',') > '}'));

const auto set_constant = [](bool constant) {
  return [constant](auto& context) { x3::_val(context).constant = constant; };
};
const auto set_inner = [](auto& context) { x3::_val(context) = std::move(x3::_attr(context)); };
const auto primary_def = ('(' > disjunction[set_inner] > ')') | Keyword("true")[set_constant(true)] |
                         Keyword("false")[set_constant(false)] | comparison[set_inner];

// Two negations cancel each other out, which also prevents "not not not ..." from nesting deeply.
const auto negate = [](auto& context) { x3::_val(context).constant = !x3::_val(context).constant; };
const auto close_negation = [](auto& context) {
  const bool is_negated = !x3::_val(context).constant;
  Condition inner = std::move(x3::_attr(context));
  if (!is_negated) {
    x3::_val(context) = std::move(inner);
  } else if (inner.kind == Condition::Kind::kNot) {
    x3::_val(context) = Condition(inner.operands.front());
  } else {
    Condition outer;
    outer.kind = Condition::Kind::kNot;
    outer.operands.push_back(std::move(inner));
    x3::_val(context) = std::move(outer);
  }
};
const auto negation_def = *(Keyword("not")[negate]) >> primary[close_negation];

const auto add_operand = [](auto& context) {
  x3::_val(context).operands.push_back(std::move(x3::_attr(context)));
};
// Replaces a condition that has a single operand by that operand.
template <Condition::Kind kKind>
struct CloseOperands {
  template <typename Context>
  void operator()(Context& context) const {
    Condition& condition = x3::_val(context);
    if (condition.operands.size() != 1) {
      condition.kind = kKind;
      return;
    }
    Condition only = std::move(condition.operands.front());
    condition = std::move(only);
  }
};
const auto conjunction_def =
    negation[add_operand] >>
    *(Keyword("and") > negation[add_operand]) >> x3::eps[CloseOperands<Condition::Kind::kAnd>()];
const auto disjunction_def =
    conjunction[add_operand] >>
    *(Keyword("or") > conjunction[add_operand]) >> x3::eps[CloseOperands<Condition::Kind::kOr>()];

const auto set_rate = [](auto& context) {
  const auto count = static_cast<double>(boost::fusion::at_c<0>(x3::_attr(context)));
  const double unit_seconds = boost::fusion::at_c<1>(x3::_attr(context));
  if (count < 1) {
    x3::_pass(context) = false;
    return;
  }
  x3::_val(context).rate_per_second = count / unit_seconds;
};
const auto set_times = [](auto& context) {
  const std::int64_t count = x3::_attr(context);
  if (count < 1 || count > kMaxRedrives) x3::_pass(context) = false;
  x3::_val(context).max_redrives = static_cast<int>(count);
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
const auto redrive_def = Keyword("resend")[([](auto&) {})] >>
                         *(-x3::lit(',') >>
                           ((Keyword("rate") > rate[set_rate]) | (Keyword("times") > times[set_times]) |
                            (Keyword("window") > duration[SetDuration<&RedriveAction::max_age>()]) |
                            (Keyword("deadline") > duration[SetDuration<&RedriveAction::call_deadline>()]) |
                            (Keyword("after") > duration[SetDuration<&RedriveAction::healthy_for>()])));

const auto set_redrive = [](auto& context) {
  x3::_val(context) = RuleAction{RuleAction::Kind::kRedrive, x3::_attr(context)};
};
const auto set_hold = [](auto& context) { x3::_val(context).kind = RuleAction::Kind::kHold; };
const auto set_drop = [](auto& context) { x3::_val(context).kind = RuleAction::Kind::kDrop; };
const auto action_def = redrive[set_redrive] | Keyword("hold")[set_hold] | Keyword("drop")[set_drop];

const auto set_rule_name = [](auto& context) { x3::_val(context).name = x3::_attr(context); };
const auto set_condition = [](auto& context) { x3::_val(context).condition = std::move(x3::_attr(context)); };
const auto set_action = [](auto& context) { x3::_val(context).action = x3::_attr(context); };
const auto one_rule_def = Keyword("rule") > record_offset > word[set_rule_name] > ':' >
                          Keyword("when") > disjunction[set_condition] >
                          Keyword("then") > action[set_action] > ';';

const auto add_rule = [](auto& context) { x3::_val(context).rules.push_back(std::move(x3::_attr(context))); };
const auto file_def = *(one_rule[add_rule]);

BOOST_SPIRIT_DEFINE(word, text, number, duration, size, literal, range, comparison, primary, negation,
                    conjunction, disjunction, rate, times, redrive, action, one_rule, file)
// NOLINTEND(readability-identifier-naming)

// Counts open parentheses outside quoted strings and comments.
class NestingCounter {
 public:
  explicit NestingCounter(std::string_view text) : text_(text) {}

  // Throws RuleError at the first parenthesis that is nested too deep.
  void Check() {
    for (offset_ = 0; offset_ < text_.size(); ++offset_) {
      switch (state_) {
        case State::kComment:
          if (text_[offset_] == '\n') state_ = State::kCode;
          break;
        case State::kQuoted:
          CheckQuoted();
          break;
        case State::kCode:
          CheckCode();
          break;
      }
    }
  }

 private:
  enum class State { kCode, kQuoted, kComment };

  void CheckQuoted() {
    const char c = text_[offset_];
    if (c == '\\') {
      ++offset_;
    } else if (c == '"' || c == '\n') {
      state_ = State::kCode;
    }
  }

  void CheckCode() {
    const char c = text_[offset_];
    if (c == '"') {
      state_ = State::kQuoted;
    } else if (c == '#') {
      state_ = State::kComment;
    } else if (c == ')') {
      depth_ -= depth_ > 0 ? 1 : 0;
    } else if (c == '(' && ++depth_ > kMaxNestingDepth) {
      ThrowRuleError(text_, offset_,
                     "expected parentheses nested at most " + std::to_string(kMaxNestingDepth) + " deep");
    }
  }

  std::string_view text_;
  std::size_t offset_ = 0;
  std::size_t depth_ = 0;
  State state_ = State::kCode;
};

constexpr std::size_t kMaxQuotedTokenBytes = 24;  // longest part of a token that an error quotes

std::string TokenAt(std::string_view text, std::size_t offset) {
  if (offset >= text.size()) return "the end";
  const std::string_view rest = text.substr(offset);
  const std::size_t length = std::min(rest.find_first_of(" \t\r\n;"), kMaxQuotedTokenBytes);
  return "'" + std::string(rest.substr(0, length)) + "'";
}

[[noreturn]] void ThrowUnexpected(std::string_view text, Iterator position, const std::string& expected) {
  const auto offset = static_cast<std::size_t>(SkipSpace(position, text.end()) - text.begin());
  ThrowRuleError(text, offset, "expected " + expected + ", found " + TokenAt(text, offset));
}

// Parses the whole text with `parser`. If text is left over, the error says that `expected_at_end` was
// expected there.
template <typename Result, typename Parser>
Result ParseWhole(std::string_view text, const Parser& parser, const char* expected_at_end) {
  if (text.size() > kMaxRuleTextBytes) {
    ThrowRuleError(text, 0, "expected at most " + std::to_string(kMaxRuleTextBytes) + " bytes");
  }
  NestingCounter(text).Check();  // limits the recursion of the parser
  Result result;
  Iterator position = text.begin();
  const Iterator begin = position;
  try {
    const auto with_begin = x3::with<TextBegin>(std::ref(begin))[parser];
    const bool is_parsed = x3::phrase_parse(position, text.end(), with_begin, space, result);
    if (!is_parsed || position != text.end()) ThrowUnexpected(text, position, expected_at_end);
  } catch (const x3::expectation_failure<Iterator>& failure) {
    ThrowUnexpected(text, failure.where(), failure.which());
  }
  return result;
}

void CheckNameIsUnique(const std::vector<Rule>& rules, std::size_t index, std::string_view text) {
  const Rule& rule = rules[index];
  const auto end_of_earlier = rules.begin() + static_cast<std::ptrdiff_t>(index);
  const bool is_duplicate = std::any_of(rules.begin(), end_of_earlier,
                                        [&](const Rule& earlier) { return earlier.name == rule.name; });
  if (is_duplicate) {
    ThrowRuleError(text, rule.offset, "expected a name that no other rule has, found " + rule.name);
  }
}

}  // namespace

RuleSet ParseRules(std::string_view text, const std::vector<std::string>& classes) {
  auto rules = ParseWhole<RuleSet>(text, file, "'rule' or the end");
  for (std::size_t i = 0; i < rules.rules.size(); ++i) {
    CheckTypes(rules.rules[i].condition, text, classes);
    CheckNameIsUnique(rules.rules, i, text);
  }
  return rules;
}

Condition ParseCondition(std::string_view text, const std::vector<std::string>& classes) {
  auto condition = ParseWhole<Condition>(text, disjunction, "and, or, or the end");
  CheckTypes(condition, text, classes);
  return condition;
}

}  // namespace sagetally::dead_letter
