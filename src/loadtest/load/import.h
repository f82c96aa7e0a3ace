// Converts recorded traces of other programs to plans. The input is CSV, JSON lines, or an access log in the
// combined format. Used by the command `trace import`.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"

namespace sagetally::loadtest {

enum class TraceFormat { kCsv, kJsonLines, kCombined };

// The names of the columns (CSV) or keys (JSON lines) that hold the properties of a message. They do not
// apply to access logs, where the first part of the path is the class, the whole path is the destination and
// the host is the client.
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
  double time_unit_s = 1;  // unit of times that are plain numbers, in seconds
  double time_scale = 1;   // Times are multiplied by this; 2 makes the trace twice as slow.
  // The mean number of copies of each message. 0.5 keeps half of the messages, chosen at random. 3 offers
  // each message three times, and spreads the copies over the time until the next message.
  double rate_scale = 1;
  double from_s = 0;  // Earlier messages of the scaled trace are dropped, and this becomes its time 0.
  double to_s = 0;    // Messages of the scaled trace from this time on are dropped; 0 keeps all.
  // The known classes. Messages of other classes get the first one. If this is empty, all classes are
  // accepted.
  std::vector<std::string> classes;
  // If this is over 0, names and numbers of destinations are hashed to so many destinations.
  int destinations = 0;
  int bytes = 200;         // body size of messages for which the trace has none
  std::uint64_t seed = 1;  // seeds the draws, and the hash that hides the names of clients and destinations
  bool strict = false;     // The first malformed line ends the import with an error.
};

// Describes where a line is malformed and what was expected there. Both numbers count from 1.
struct MalformedLine {
  std::int64_t line = 0;
  std::int64_t column = 0;
  std::string expected;
  bool operator==(const MalformedLine&) const = default;
};

struct ImportResult {
  std::vector<PlannedMessage> messages;  // in order of time, which starts at 0
  std::vector<std::string> classes;
  std::int64_t line_count = 0;
  std::int64_t malformed_count = 0;
  std::vector<MalformedLine> malformed_lines;  // the first ten malformed lines
  std::int64_t out_of_order_lines = 0;  // lines that are earlier than a line before them; they are sorted
  double max_backward_s = 0;            // largest difference by which such a line is earlier
};

// Imports all lines of `in`. Names of clients and destinations are hashed with the seed, so that the result
// holds none of them. Throws std::runtime_error that names line and column if a line is malformed and
// `strict` is set, or if no line can be read.
ImportResult ImportTrace(std::istream& in, const ImportOptions& options);

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_IMPORT_H_
