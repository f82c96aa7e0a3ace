#include "loadtest/load/import.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <charconv>
#include <cmath>
#include <istream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "loadtest/load/import_grammar.h"

namespace sagetally::loadtest {
namespace {

constexpr std::size_t kMostProblems = 10;

struct Entry {
  double at_s = 0;
  std::string class_name, destination, bytes, caller;
};

class Importing {
 public:
  explicit Importing(const ImportOptions& options)
      : options_(options), random_(Stream(options.seed, "import")) {
    result_.classes = options.classes;
  }

  Imported Run(std::istream& in) {
    for (std::string line; std::getline(in, line);) {
      ++result_.lines;
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.empty()) continue;
      try {  // guards against a line that can't be read: it is counted, and the next one may be well
        if (options_.form == TraceForm::kCsv && head_.empty()) {
          ReadHead(line);
        } else {
          Add(Read(line));
        }
      } catch (const LineError& error) {
        Malformed(static_cast<std::int64_t>(error.column), error.what());
      }
    }
    if (result_.messages.empty()) {
      throw std::runtime_error("no line could be read" +
                               (result_.problems.empty() ? std::string() : First()));
    }
    Shape();
    return std::move(result_);
  }

 private:
  std::string First() const {
    const ImportProblem& p = result_.problems.front();
    return fmt::format(": line {}, column {}: expected {}", p.line, p.column, p.expected);
  }

  void Malformed(std::int64_t column, const std::string& expected) {
    ++result_.malformed;
    if (result_.problems.size() < kMostProblems)
      result_.problems.push_back({result_.lines, column, expected});
    if (options_.strict)
      throw std::runtime_error(
          fmt::format("line {}, column {}: expected {}", result_.lines, column, expected));
  }

  void ReadHead(const std::string& line) {
    head_ = ParseCsvLine(line);
    for (const auto& [what, name] : options_.columns) {
      const auto at = std::find(head_.begin(), head_.end(), name);
      if (at != head_.end()) columns_[what] = static_cast<std::size_t>(at - head_.begin());
    }
    if (!columns_.contains("time"))
      throw std::runtime_error("the first line names no column '" + options_.columns.at("time") +
                               "' for the time");
  }

  Entry Read(const std::string& line) const {
    switch (options_.form) {
      case TraceForm::kCsv:
        return Csv(line);
      case TraceForm::kJsonLines:
        return JsonLine(line);
      case TraceForm::kCombined:
        break;
    }
    const CombinedLine parts = ParseCombinedLine(line);
    Entry entry;
    entry.at_s = ParseTime(parts.time, options_.time_unit_s);
    entry.caller = parts.host;
    const std::size_t from = parts.request.find('/');
    if (from == std::string::npos) throw LineError(line.find('"') + 2, "a request with a path");
    const std::size_t to = parts.request.find_first_of("/? ", from + 1);
    entry.class_name = parts.request.substr(from + 1, to == std::string::npos ? to : to - from - 1);
    entry.destination = parts.request.substr(from, parts.request.find(' ', from) - from);
    return entry;
  }

  Entry Csv(const std::string& line) const {
    const std::vector<std::string> fields = ParseCsvLine(line);
    if (fields.size() != head_.size())
      throw LineError(line.size() + 1,
                      fmt::format("{} fields as in the first line, found {}", head_.size(), fields.size()));
    const auto get = [&](const char* what) {
      const auto at = columns_.find(what);
      return at == columns_.end() ? std::string() : fields[at->second];
    };
    Entry entry{0, get("class"), get("destination"), get("bytes"), get("caller")};
    try {
      entry.at_s = ParseTime(get("time"), options_.time_unit_s);
    } catch (const LineError& error) {
      std::size_t column = 1;
      for (std::size_t i = 0; i < columns_.at("time"); ++i) column += fields[i].size() + 1;
      throw LineError(column, error.what());
    }
    return entry;
  }

  Entry JsonLine(const std::string& line) const {
    nlohmann::json json;
    try {
      json = nlohmann::json::parse(line);
    } catch (const nlohmann::json::parse_error& error) {
      throw LineError(error.byte, "JSON");
    }
    if (!json.is_object()) throw LineError(1, "an object");
    const auto get = [&](const char* what) {
      const auto at = json.find(options_.columns.at(what));
      if (at == json.end() || at->is_null()) return std::string();
      return at->is_string() ? at->get<std::string>() : at->dump();
    };
    const std::string time = get("time");
    if (time.empty()) throw LineError(1, "the key '" + options_.columns.at("time") + "'");
    return {ParseTime(time, options_.time_unit_s), get("class"), get("destination"), get("bytes"),
            get("caller")};
  }

  std::uint64_t Hash(const std::string& text) const {
    return XXH3_64bits_withSeed(text.data(), text.size(), options_.seed);
  }

  static bool Number(const std::string& text, int& out) {
    const auto read = std::from_chars(text.data(), text.data() + text.size(), out);
    return !text.empty() && read.ec == std::errc() && read.ptr == text.data() + text.size();
  }

  std::int32_t ClassNumber(const std::string& name) {
    const auto at = std::find(result_.classes.begin(), result_.classes.end(), name);
    if (at != result_.classes.end()) return static_cast<std::int32_t>(at - result_.classes.begin());
    if (!options_.classes.empty()) return 0;
    if (result_.classes.size() >= 250 || name.find_first_not_of(kNameBytes) != std::string::npos ||
        name.empty()) {
      if (result_.classes.empty()) result_.classes.push_back("other");
      return 0;
    }
    result_.classes.push_back(name);
    return static_cast<std::int32_t>(result_.classes.size()) - 1;
  }

  void Add(const Entry& entry) {
    Planned p;
    if (!std::isfinite(entry.at_s) || std::abs(entry.at_s) > 1e11) throw LineError(1, "a time within reason");
    p.at_us = std::llround(entry.at_s * 1e6);
    p.message_class = ClassNumber(entry.class_name);
    int number = 0;
    if (options_.destinations > 0) {
      p.destination = static_cast<std::int32_t>(Hash(entry.destination) %
                                                static_cast<std::uint64_t>(options_.destinations));
    } else if (Number(entry.destination, number) && number >= 0) {
      p.destination = number;
    }
    p.body_bytes = Number(entry.bytes, number) ? std::clamp(number, 1, 65536) : options_.bytes;
    p.caller = static_cast<std::int32_t>(Hash(entry.caller) % 1'000'000);
    if (p.at_us < latest_us_) {
      ++result_.went_back;
      result_.most_back_s = std::max(result_.most_back_s, static_cast<double>(latest_us_ - p.at_us) / 1e6);
    }
    latest_us_ = std::max(latest_us_, p.at_us);
    result_.messages.push_back(p);
  }

  void Shape() {
    std::vector<Planned>& all = result_.messages;
    std::stable_sort(all.begin(), all.end(),
                     [](const Planned& a, const Planned& b) { return a.at_us < b.at_us; });
    const std::int64_t first = all.front().at_us;
    std::vector<Planned> shaped;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const std::int64_t next = i + 1 < all.size() ? all[i + 1].at_us : all[i].at_us;
      double copies = options_.rate_scale;
      const auto whole = static_cast<int>(std::floor(copies + 1e-9));
      const int count = whole + (boost::random::uniform_01<>()(random_) < copies - whole ? 1 : 0);
      for (int c = 0; c < count; ++c) {
        Planned p = all[i];
        const double at =
            static_cast<double>(p.at_us - first) + static_cast<double>(next - p.at_us) * c / count;
        const double scaled_s = at * options_.time_scale / 1e6;
        if (scaled_s < options_.from_s || (options_.to_s > 0 && scaled_s >= options_.to_s)) continue;
        p.at_us = std::llround((scaled_s - options_.from_s) * 1e6);
        p.number = static_cast<std::int64_t>(shaped.size());
        shaped.push_back(p);
      }
    }
    all = std::move(shaped);
  }

  static constexpr const char* kNameBytes =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";
  const ImportOptions& options_;
  Random random_;
  std::vector<std::string> head_;
  std::map<std::string, std::size_t> columns_;
  std::int64_t latest_us_ = INT64_MIN;
  Imported result_;
};

}  // namespace

Imported ImportTrace(std::istream& in, const ImportOptions& options) { return Importing(options).Run(in); }

}  // namespace sagetally::loadtest
