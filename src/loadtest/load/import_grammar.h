// Grammars of foreign traces, line by line (Boost.Spirit). Used by import.cpp alone.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally::loadtest {

// What a line should have had, and where.
struct LineError : std::runtime_error {
  LineError(std::size_t column, const std::string& expected) : std::runtime_error(expected), column(column) {}
  std::size_t column;  // from 1
};

// A line of an access log: host ident user [time] "method path protocol" status bytes "referer" "agent".
struct CombinedLine {
  std::string host;
  std::string ident;
  std::string user;
  std::string time;
  std::string request;
  std::string status;
  std::string bytes;
  std::string referer;
  std::string agent;
};

// All throw LineError.

// RFC 4180, without line breaks in fields.
std::vector<std::string> ParseCsvLine(std::string_view line);

CombinedLine ParseCombinedLine(std::string_view line);

// Seconds since 1970, from a number of `unit_s`, ISO 8601 ("2026-01-07T12:00:00.25Z", with a zone or none),
// or an access log's "07/Jan/2026:12:00:00 -0300".
double ParseTime(std::string_view text, double unit_s);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_
