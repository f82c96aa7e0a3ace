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

// Rules have lower-case names, as is usual with Boost.Spirit X3.
// NOLINTBEGIN(readability-identifier-naming)
x3::rule<struct QuotedFieldTag, std::string> const quoted_field =
    "a quoted field followed by a comma or the end of the line";
const auto quoted_field_def = '"' > *((x3::char_ - '"') | ("\"\"" >> x3::attr('"'))) > '"';
x3::rule<struct PlainFieldTag, std::string> const plain_field = "a field without quotes";
const auto plain_field_def = *(x3::char_ - x3::char_(",\""));
x3::rule<struct CsvTag, std::vector<std::string>> const csv = "fields separated by commas";
const auto csv_def = (quoted_field | plain_field) % ',';

x3::rule<struct WordTag, std::string> const word = "a word";
const auto word_def = +x3::graph;
x3::rule<struct BracketTag, std::string> const bracketed = "a time in square brackets";
const auto bracketed_def = '[' > +(x3::char_ - ']') > ']';
x3::rule<struct TextTag, std::string> const text = "a text in quotation marks";
const auto text_def = '"' > *(('\\' >> x3::char_) | (x3::char_ - '"')) > '"';
x3::rule<struct CombinedTag, CombinedLine> const combined = "a line of an access log";
const auto combined_def = word > ' ' > word > ' ' > word > ' ' > bracketed > ' ' > text > ' ' > word > ' ' >
                          word > ((' ' >> text) | x3::attr(std::string())) >
                          ((' ' >> text) | x3::attr(std::string()));

BOOST_SPIRIT_DEFINE(quoted_field, plain_field, csv, word, bracketed, text, combined)

template <typename Rule, typename Out>
void Parse(std::string_view line, const Rule& rule, Out& out, const char* expected) {
  Iterator position = line.begin();
  try {
    if (!x3::parse(position, line.end(), rule, out)) throw LineError(1, expected);
  } catch (const x3::expectation_failure<Iterator>& failure) {
    throw LineError(static_cast<std::size_t>(failure.where() - line.begin()) + 1, failure.which());
  }
  if (position != line.end()) {
    throw LineError(static_cast<std::size_t>(position - line.begin()) + 1, "the end of the line");
  }
}

struct MonthNames : x3::symbols<unsigned> {
  MonthNames() {
    unsigned month = 0;
    for (const char* name :
         {"Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"}) {
      add(name, ++month);
    }
  }
} const month_names;

// A local time and the offset of its zone from UTC.
struct CalendarTime {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  double second = 0;
  int zone_minutes = 0;
};

// Returns the seconds since 1970. Throws LineError if the day or the time of day does not exist.
double SecondsSinceEpoch(const CalendarTime& calendar) {
  using namespace std::chrono;
  const year_month_day date{year(calendar.year), month(calendar.month), day(calendar.day)};
  if (!date.ok() || calendar.hour > 23 || calendar.minute > 59 || !(calendar.second < 61)) {
    throw LineError(1, "an existing day and time of day");
  }
  const auto days = sys_days{date}.time_since_epoch().count();
  return static_cast<double>(days) * 86400 + calendar.hour * 3600 + calendar.minute * 60 + calendar.second -
         calendar.zone_minutes * 60;
}

}  // namespace

std::vector<std::string> ParseCsvLine(std::string_view line) {
  std::vector<std::string> fields;
  Parse(line, csv, fields, "fields separated by commas");
  return fields;
}

CombinedLine ParseCombinedLine(std::string_view line) {
  CombinedLine parts;
  Parse(line, combined, parts, "a line of an access log");
  return parts;
}

double ParseTime(std::string_view text, double unit_s) {
  static const x3::uint_parser<int, 10, 4, 4> four_digits;
  static const x3::uint_parser<unsigned, 10, 1, 2> one_or_two_digits;
  static const x3::uint_parser<int, 10, 2, 2> two_digits;
  static const x3::real_parser<double, x3::ureal_policies<double>> unsigned_real;
  CalendarTime calendar;
  int sign = 0;
  const auto store_in = [](auto& out) {
    return [&out](auto& context) { out = static_cast<std::decay_t<decltype(out)>>(x3::_attr(context)); };
  };
  const auto store_sign = [&](auto& context) { sign = x3::_attr(context) == '-' ? -1 : 1; };
  const auto add_zone_hours = [&](auto& context) { calendar.zone_minutes += sign * 60 * x3::_attr(context); };
  const auto add_zone_minutes = [&](auto& context) { calendar.zone_minutes += sign * x3::_attr(context); };
  const auto zone = x3::char_("+-")[store_sign] >> two_digits[add_zone_hours] >> -x3::lit(':') >>
                    two_digits[add_zone_minutes];
  const auto time_of_day = one_or_two_digits[store_in(calendar.hour)] >> ':' >>
                           one_or_two_digits[store_in(calendar.minute)] >> ':' >>
                           unsigned_real[store_in(calendar.second)];
  const auto iso_time = four_digits[store_in(calendar.year)] >> '-' >>
                        one_or_two_digits[store_in(calendar.month)] >> '-' >>
                        one_or_two_digits[store_in(calendar.day)] >> x3::omit[x3::char_("T ")] >>
                        time_of_day >> -('Z' | zone) >> x3::eoi;
  const auto access_log_time =
      one_or_two_digits[store_in(calendar.day)] >> '/' >> month_names[store_in(calendar.month)] >> '/' >>
      four_digits[store_in(calendar.year)] >> ':' >> time_of_day >> -(' ' >> zone) >> x3::eoi;
  double number = 0;
  if (x3::parse(text.begin(), text.end(), x3::double_ >> x3::eoi, number)) return number * unit_s;
  if (x3::parse(text.begin(), text.end(), iso_time)) return SecondsSinceEpoch(calendar);
  calendar = {};
  if (x3::parse(text.begin(), text.end(), access_log_time)) return SecondsSinceEpoch(calendar);
  throw LineError(1, "a time: a number, ISO 8601 or day/Mon/year:hour:minute:second zone");
}

// NOLINTEND(readability-identifier-naming)

}  // namespace sagetally::loadtest
