// Traces, which are plans in files. They are recorded by a run or imported from other programs. Each line
// holds a JSON value: the first line is the header with the format's version and the classes, and each
// further line is a message.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_TRACE_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_TRACE_H_

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"

namespace sagetally::loadtest {

// Writes a trace. Not thread-safe.
class TraceWriter {
 public:
  // Creates or replaces the file and writes the header. Throws std::runtime_error if the file can't be
  // opened.
  TraceWriter(const std::string& path, const Scenario& scenario);
  TraceWriter(const std::string& path, const std::vector<std::string>& classes);

  void Write(const PlannedMessage& message);
  // Closes the file. Throws std::runtime_error if not everything could be written.
  void Close();

 private:
  std::string path_;
  std::ofstream file_;
  std::vector<std::string> classes_;
};

// Reads the messages of a trace that are earlier than the end of the scenario's `seconds`. The classes of
// these messages must be among the scenario's. Errors are std::runtime_error and name file and line.
class TraceReader : public PlanSource {
 public:
  TraceReader(const std::string& path, const Scenario& scenario);
  std::optional<PlannedMessage> Next() override;

 private:
  PlannedMessage ParseMessage(const std::string& line) const;

  const std::string path_;
  const double seconds_;
  std::ifstream file_;
  std::vector<std::string> classes_;
  std::int64_t line_number_ = 0;
  std::int64_t next_number_ = 0;
  std::int64_t last_us_ = 0;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_TRACE_H_
