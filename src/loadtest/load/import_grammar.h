// Grammars for single lines of traces of other programs, written with Boost.Spirit. Used only by import.cpp.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally::loadtest {

// Reports that a line is malformed. what() is the description of what was expected at the column.
struct LineError : std::runtime_error {
  LineError(std::size_t column, const std::string& expected) : std::runtime_error(expected), column(column) {}
  std::size_t column;  // counts from 1
};

// A line of an access log in the combined format:
// host ident user [time] "method path protocol" status bytes "referer" "agent"
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

// The functions below throw LineError if their argument is malformed.

// Returns the fields of a line by RFC 4180. Line breaks in fields are not supported.
std::vector<std::string> ParseCsvLine(std::string_view line);

CombinedLine ParseCombinedLine(std::string_view line);

// Returns the seconds since 1970. `text` is a number in units of `unit_s` seconds, an ISO 8601 time with or
// without a zone ("2026-01-07T12:00:00.25Z"), or the time of an access log ("07/Jan/2026:12:00:00 -0300"). A
// time without a zone is UTC.
double ParseTime(std::string_view text, double unit_s);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_GRAMMAR_H_
