// Imports recorded traces of other programs as plans: CSV, JSON lines, and access logs in the combined
// format.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"

namespace sagetally::loadtest {

enum class TraceFormat { kCsv, kJsonLines, kCombined };

// The columns (CSV) or keys (JSON lines) that hold the parts of a message. Access logs have fixed ones: the
// first part of the path is the class, the host is the client.
struct TraceColumns {
  std::string time = "time";
  std::string message_class = "class";
  std::string destination = "destination";
  std::string bytes = "bytes";
  std::string client = "caller";
};

struct ImportOptions {
  TraceFormat format = TraceFormat::kCsv;
  TraceColumns columns;
  double time_unit_s = 1;  // of times that are plain numbers
  double time_scale = 1;   // 2: twice as slow
  double rate_scale = 1;   // 0.5: every second message, drawn; 3: each three times, spread to the next
  double from_s = 0;       // of the scaled trace; what is before is cut off
  double to_s = 0;         // of the scaled trace; 0: to its end
  std::vector<std::string> classes;  // known ones; others become the first. Empty: all are known
  int destinations = 0;              // over 0: names and numbers are hashed into so many
  int bytes = 200;                   // where the trace has none
  std::uint64_t seed = 1;            // of draws, and of the hash that hides clients and destinations
  bool strict = false;               // the first malformed line ends the import
};

// Where a line is malformed; both numbers count from 1.
struct MalformedLine {
  std::int64_t line = 0;
  std::int64_t column = 0;
  std::string expected;
  bool operator==(const MalformedLine&) const = default;
};

struct ImportResult {
  std::vector<PlannedMessage> messages;  // in order of time, from 0
  std::vector<std::string> classes;
  std::int64_t line_count = 0;
  std::int64_t malformed_count = 0;
  std::vector<MalformedLine> malformed_lines;  // the first ten
  std::int64_t out_of_order_lines = 0;         // earlier than a line before them; they are sorted
  double max_backward_s = 0;                   // the longest step back in time
};

// Client and destination names are hashed with the seed: none is found in the result. Throws
// std::runtime_error that names line and column if a line is malformed and `strict` is set, or if no line can
// be read.
ImportResult ImportTrace(std::istream& in, const ImportOptions& options);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_
