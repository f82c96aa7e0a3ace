#include "cli/table.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace sagetally {
namespace {

constexpr std::int64_t kProgressWidth = 40;  // characters
constexpr const char* kEraseLine = "\r\033[K";

// The smallest sizes, in bytes, that are shown in kilobytes and in megabytes. A smaller size is shown in the
// next smaller unit.
constexpr std::int64_t kMinBytesShownAsKilobytes = 10'000;
constexpr std::int64_t kMinBytesShownAsMegabytes = 10'000'000;

}  // namespace

void Table::Print(std::ostream& out) const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) line += fmt::format("{:<{}}  ", row[i], widths[i]);
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

Progress::Progress(std::ostream& out, std::int64_t total)
    : out_(out), total_(total), is_shown_(::isatty(STDERR_FILENO) == 1) {}

Progress::~Progress() {
  if (is_shown_ && completed_ > 0) out_ << kEraseLine << std::flush;
}

void Progress::Advance(std::int64_t steps) {
  completed_ += steps;
  if (!is_shown_ || total_ <= 0) return;
  const std::int64_t filled = std::min(kProgressWidth, completed_ * kProgressWidth / total_);
  out_ << "\r[" << std::string(static_cast<std::size_t>(filled), '#')
       << std::string(static_cast<std::size_t>(kProgressWidth - filled), '.') << "] "
       << fmt::format("{} of {}", completed_, total_) << std::flush;
}

std::string FormatTime(std::int64_t unix_us) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}.{:03}", fmt::gmtime(static_cast<std::time_t>(unix_us / 1'000'000)),
                     unix_us / 1000 % 1000);
}

std::string FormatSize(std::int64_t bytes) {
  if (bytes < kMinBytesShownAsKilobytes) return fmt::format("{} B", bytes);
  if (bytes < kMinBytesShownAsMegabytes) return fmt::format("{:.1f} kB", static_cast<double>(bytes) / 1e3);
  return fmt::format("{:.1f} MB", static_cast<double>(bytes) / 1e6);
}

}  // namespace sagetally
