#include "cli/table.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace sagetally {

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

Progress::Progress(std::ostream& out, std::int64_t all)
    : out_(out), all_(all), shown_(::isatty(STDERR_FILENO) == 1) {}

Progress::~Progress() {
  if (shown_ && done_ > 0) out_ << "\r\033[K" << std::flush;
}

void Progress::Done(std::int64_t n) {
  done_ += n;
  if (!shown_ || all_ <= 0) return;
  constexpr std::int64_t kWidth = 40;
  const std::int64_t full = std::min(kWidth, done_ * kWidth / all_);
  out_ << "\r[" << std::string(static_cast<std::size_t>(full), '#')
       << std::string(static_cast<std::size_t>(kWidth - full), '.') << "] "
       << fmt::format("{} of {}", done_, all_) << std::flush;
}

std::string TimeText(std::int64_t unix_us) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}.{:03}", fmt::gmtime(static_cast<std::time_t>(unix_us / 1'000'000)),
                     unix_us / 1000 % 1000);
}

std::string SizeText(std::int64_t bytes) {
  if (bytes < 10'000) return fmt::format("{} B", bytes);
  if (bytes < 10'000'000) return fmt::format("{:.1f} kB", static_cast<double>(bytes) / 1e3);
  return fmt::format("{:.1f} MB", static_cast<double>(bytes) / 1e6);
}

}  // namespace sagetally
