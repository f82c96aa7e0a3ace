// Recorded traces of other programs become plans: CSV, JSON lines, and access logs in the combined form.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"

namespace sagetally::loadtest {

enum class TraceForm { kCsv, kJsonLines, kCombined };

struct ImportOptions {
  TraceForm form = TraceForm::kCsv;
  // Which column or key holds what: time, class, destination, bytes, caller. Access logs have fixed ones: the
  // first part of the path is the class, the host the caller.
  std::map<std::string, std::string> columns = {{"time", "time"},
                                                {"class", "class"},
                                                {"destination", "destination"},
                                                {"bytes", "bytes"},
                                                {"caller", "caller"}};
  double time_unit_s = 1;       // of times that are plain numbers
  double time_scale = 1;        // 2: twice as slow
  double rate_scale = 1;        // 0.5: every second message, drawn; 3: each three times, spread to the next
  double from_s = 0, to_s = 0;  // cut of the scaled trace; 0: to its end
  std::vector<std::string> classes;  // known ones; others become the first. Empty: all that come
  int destinations = 0;              // over 0: names and numbers are hashed into so many
  int bytes = 200;                   // where the trace has none
  std::uint64_t seed = 1;            // of draws, and of the hash that hides who it was
  bool strict = false;               // the first malformed line ends it
};

struct ImportProblem {
  std::int64_t line = 0, column = 0;  // from 1
  std::string expected;
  bool operator==(const ImportProblem&) const = default;
};

struct Imported {
  std::vector<Planned> messages;  // in order of time, from 0
  std::vector<std::string> classes;
  std::int64_t lines = 0, malformed = 0;
  std::vector<ImportProblem> problems;  // the first ten
  std::int64_t went_back = 0;           // lines whose time is before an earlier line's; sorted in
  double most_back_s = 0;
};

// Ids of callers and destinations are hashed with the seed: none is found in the result. Throws
// std::runtime_error naming line and column if strict, or if no line can be read.
Imported ImportTrace(std::istream& in, const ImportOptions& options);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_
