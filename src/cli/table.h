// Tables and progress for terminals.
#ifndef SAGETALLY_SRC_CLI_TABLE_H_
#define SAGETALLY_SRC_CLI_TABLE_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace sagetally {

class Table {
 public:
  explicit Table(std::vector<std::string> heads) : rows_({std::move(heads)}) {}
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// One line that is written over; silent unless standard error is a terminal.
class Progress {
 public:
  Progress(std::ostream& out, std::int64_t all);
  ~Progress();
  void Done(std::int64_t n);

 private:
  std::ostream& out_;
  const std::int64_t all_;
  std::int64_t done_ = 0;
  const bool shown_;
};

std::string TimeText(std::int64_t unix_us);  // "2026-01-07 12:00:00.123", UTC
std::string SizeText(std::int64_t bytes);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CLI_TABLE_H_
