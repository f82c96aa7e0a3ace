#include "loadtest/load/import_grammar.h"

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/fusion/include/vector.hpp>
#include <boost/spirit/home/x3.hpp>
#include <chrono>

BOOST_FUSION_ADAPT_STRUCT(sagetally::loadtest::CombinedLine, host, ident, user, time, request, status, bytes,
                          referer, agent)

namespace sagetally::loadtest {
namespace {

namespace x3 = boost::spirit::x3;
using Iterator = std::string_view::const_iterator;

x3::rule<struct QuotedFieldTag, std::string> const quoted_field =
    "a quoted field and a comma or the end of the line";
const auto quoted_field_def = '"' > *((x3::char_ - '"') | ("\"\"" >> x3::attr('"'))) > '"';
x3::rule<struct PlainFieldTag, std::string> const plain_field = "a field without quotes in it";
const auto plain_field_def = *(x3::char_ - x3::char_(",\""));
x3::rule<struct CsvTag, std::vector<std::string>> const csv = "fields with commas between";
const auto csv_def = (quoted_field | plain_field) % ',';

x3::rule<struct WordTag, std::string> const word = "a word";
const auto word_def = +x3::graph;
x3::rule<struct BracketTag, std::string> const bracketed = "a time in square brackets";
const auto bracketed_def = '[' > +(x3::char_ - ']') > ']';
x3::rule<struct TextTag, std::string> const text = "a text in quotes";
const auto text_def = '"' > *(('\\' >> x3::char_) | (x3::char_ - '"')) > '"';
x3::rule<struct CombinedTag, CombinedLine> const combined = "a line of an access log";
const auto combined_def = word > ' ' > word > ' ' > word > ' ' > bracketed > ' ' > text > ' ' > word > ' ' >
                          word > ((' ' >> text) | x3::attr(std::string())) >
                          ((' ' >> text) | x3::attr(std::string()));

BOOST_SPIRIT_DEFINE(quoted_field, plain_field, csv, word, bracketed, text, combined)

template <typename Rule, typename Out>
void Parse(std::string_view line, const Rule& rule, Out& out, const char* what) {
  Iterator at = line.begin();
  try {
    if (!x3::parse(at, line.end(), rule, out)) throw LineError(1, what);
  } catch (const x3::expectation_failure<Iterator>& failure) {
    throw LineError(static_cast<std::size_t>(failure.where() - line.begin()) + 1, failure.which());
  }
  if (at != line.end())
    throw LineError(static_cast<std::size_t>(at - line.begin()) + 1, "the end of the line");
}

struct MonthNames : x3::symbols<unsigned> {
  MonthNames() {
    unsigned n = 0;
    for (const char* name :
         {"Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"})
      add(name, ++n);
  }
} const month_names;

struct Calendar {
  int year = 0;
  unsigned month = 0, day = 0;
  int hour = 0, minute = 0;
  double second = 0;
  int zone_minutes = 0;
};

double Seconds(const Calendar& c) {
  using namespace std::chrono;
  const year_month_day date{year(c.year), month(c.month), day(c.day)};
  if (!date.ok() || c.hour > 23 || c.minute > 59 || !(c.second < 61))
    throw LineError(1, "a day and time that exist");
  const auto days = sys_days(date).time_since_epoch().count();
  return static_cast<double>(days) * 86400 + c.hour * 3600 + c.minute * 60 + c.second - c.zone_minutes * 60;
}

}  // namespace

std::vector<std::string> ParseCsvLine(std::string_view line) {
  std::vector<std::string> fields;
  Parse(line, csv, fields, "fields with commas between");
  return fields;
}

CombinedLine ParseCombinedLine(std::string_view line) {
  CombinedLine parts;
  Parse(line, combined, parts, "a line of an access log");
  return parts;
}

double ParseTime(std::string_view text, double unit_s) {
  static const x3::uint_parser<int, 10, 4, 4> four;
  static const x3::uint_parser<unsigned, 10, 1, 2> two;
  static const x3::uint_parser<int, 10, 2, 2> pair;
  static const x3::real_parser<double, x3::ureal_policies<double>> real;
  Calendar c;
  int sign = 0;
  const auto to = [](auto& out) {
    return [&out](auto& ctx) { out = static_cast<std::decay_t<decltype(out)>>(x3::_attr(ctx)); };
  };
  const auto plus = [&](auto& ctx) { sign = x3::_attr(ctx) == '-' ? -1 : 1; };
  const auto hours = [&](auto& ctx) { c.zone_minutes += sign * 60 * x3::_attr(ctx); };
  const auto minutes = [&](auto& ctx) { c.zone_minutes += sign * x3::_attr(ctx); };
  const auto zone = x3::char_("+-")[plus] >> pair[hours] >> -x3::lit(':') >> pair[minutes];
  const auto clock = two[to(c.hour)] >> ':' >> two[to(c.minute)] >> ':' >> real[to(c.second)];
  const auto iso = four[to(c.year)] >> '-' >> two[to(c.month)] >> '-' >> two[to(c.day)] >>
                   x3::omit[x3::char_("T ")] >> clock >> -('Z' | zone) >> x3::eoi;
  const auto log = two[to(c.day)] >> '/' >> month_names[to(c.month)] >> '/' >> four[to(c.year)] >> ':' >>
                   clock >> -(' ' >> zone) >> x3::eoi;
  double number = 0;
  if (x3::parse(text.begin(), text.end(), x3::double_ >> x3::eoi, number)) return number * unit_s;
  if (x3::parse(text.begin(), text.end(), iso)) return Seconds(c);
  c = {};
  if (x3::parse(text.begin(), text.end(), log)) return Seconds(c);
  throw LineError(1, "a time: a number, ISO 8601 or day/Mon/year:hour:minute:second zone");
}

}  // namespace sagetally::loadtest
