// The grammars of foreign traces, line by line.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally::loadtest {

struct LineError : std::runtime_error {
  LineError(std::size_t column, const std::string& expected) : std::runtime_error(expected), column(column) {}
  std::size_t column;  // from 1
};

struct CombinedLine {  // host ident user [time] "method path protocol" status bytes "referer" "agent"
  std::string host, ident, user, time, request, status, bytes, referer, agent;
};

// All throw LineError.
std::vector<std::string> ParseCsvLine(std::string_view line);  // RFC 4180, without line breaks in fields
CombinedLine ParseCombinedLine(std::string_view line);
// Seconds since 1970: a number of `unit_s`, ISO 8601 ("2026-01-07T12:00:00.25Z", with zone or none), or the
// access log's "07/Jan/2026:12:00:00 -0300".
double ParseTime(std::string_view text, double unit_s);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_
