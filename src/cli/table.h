// Formats tables, progress bars, times and sizes for terminals. Used by the subcommands and the load test.
#ifndef SAGETALLY_SRC_CLI_TABLE_H_
#define SAGETALLY_SRC_CLI_TABLE_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace sagetally {

// A table of left-aligned columns with a line of headings.
class Table {
 public:
  explicit Table(std::vector<std::string> headings) : rows_({std::move(headings)}) {}
  // Appends a row.
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  // Prints the headings and all rows, one per line, with columns as wide as their longest entry.
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the headings first
};

// A progress bar on one line. The line is overwritten at each step and erased by the destructor. Nothing is
// printed unless standard error is a terminal.
class Progress {
 public:
  // `total` is the number of steps. If it is not known, pass 0, and nothing is shown.
  Progress(std::ostream& out, std::int64_t total);
  ~Progress();
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;
  // Adds `steps` completed steps and redraws the bar.
  void Advance(std::int64_t steps);

 private:
  std::ostream& out_;
  const std::int64_t total_;
  std::int64_t completed_ = 0;
  const bool is_shown_;
};

// Formats microseconds since 1970 as a UTC time such as "2026-01-07 12:00:00.123".
std::string FormatTime(std::int64_t unix_us);
// Formats a size in decimal units, such as "512 B", "12.3 kB" or "45.6 MB".
std::string FormatSize(std::int64_t bytes);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_TABLE_H_
