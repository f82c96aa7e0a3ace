// Traces: plans on file. One JSON value a line; the first names the form, the classes and the seed, each
// other one message.
#ifndef SAGETALLY_SRC_LOADTEST_LOAD_TRACE_H_
#define SAGETALLY_SRC_LOADTEST_LOAD_TRACE_H_

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/load/plan.h"

namespace sagetally::loadtest {

class TraceWriter {
 public:
  // Throws std::runtime_error if the file can't be written, then or later.
  TraceWriter(const std::string& path, const Scenario& scenario);
  TraceWriter(const std::string& path, const std::vector<std::string>& classes);
  void Write(const Planned& planned);
  void Close();

 private:
  std::string path_;
  std::ofstream file_;
  std::vector<std::string> classes_;
};

// Messages in order of time, up to the scenario's seconds; its classes say which are known. Throws
// std::runtime_error naming file and line.
class TraceReader : public Source {
 public:
  TraceReader(const std::string& path, const Scenario& scenario);
  std::optional<Planned> Next() override;

 private:
  const std::string path_;
  const double seconds_;
  std::ifstream file_;
  std::vector<std::string> classes_;
  std::int64_t line_ = 0, number_ = 0, last_us_ = 0;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_LOAD_TRACE_H_
