// Tables, progress bars and readable quantities for terminals.
#ifndef SAGETALLY_SRC_CLI_TABLE_H_
#define SAGETALLY_SRC_CLI_TABLE_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace sagetally {

// Left-aligned columns under a line of headings.
class Table {
 public:
  explicit Table(std::vector<std::string> headings) : rows_({std::move(headings)}) {}
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the headings first
};

// A progress bar in one line that is written over, and erased at the end; silent unless standard error is a
// terminal.
class Progress {
 public:
  // `total`: of the steps to come; 0 if it is not known, and then nothing is shown.
  Progress(std::ostream& out, std::int64_t total);
  ~Progress();
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;
  void Advance(std::int64_t steps);

 private:
  std::ostream& out_;
  const std::int64_t total_;
  std::int64_t completed_ = 0;
  const bool is_shown_;
};

// "2026-01-07 12:00:00.123", UTC, of microseconds since 1970.
std::string FormatTime(std::int64_t unix_us);
// "512 B", "12.3 kB", "45.6 MB": decimal units.
std::string FormatSize(std::int64_t bytes);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_TABLE_H_
