#include "loadtest/load/import.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <charconv>
#include <cmath>
#include <istream>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "loadtest/load/import_grammar.h"

namespace sagetally::loadtest {
namespace {

constexpr std::size_t kMaxRecordedMalformedLines = 10;
constexpr std::size_t kMaxClasses = 250;
constexpr double kMaxAbsoluteTimeSeconds = 1e11;
constexpr int kMaxBodyBytes = 65536;
constexpr std::uint64_t kClientCount = 1'000'000;  // client names are hashed to this number of clients
constexpr const char* kClassNameBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";

// The properties of a message, as text from one line. Properties that the trace doesn't have are empty.
struct TraceEntry {
  double at_s = 0;
  std::string message_class;
  std::string destination;
  std::string bytes;
  std::string client;
};

std::optional<int> ParseInteger(const std::string& text) {
  int number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::string Describe(const MalformedLine& malformed) {
  return fmt::format("line {}, column {}: expected {}", malformed.line, malformed.column, malformed.expected);
}

// Parses the lines of a trace in one of the formats.
class EntryReader {
 public:
  explicit EntryReader(const ImportOptions& options) : options_(options) {}

  // Returns nothing for the first line of a CSV file, which names the columns. Throws LineError.
  std::optional<TraceEntry> Read(const std::string& line) {
    switch (options_.format) {
      case TraceFormat::kCsv:
        if (header_.empty()) {
          ReadCsvHeader(line);
          return std::nullopt;
        }
        return ReadCsv(line);
      case TraceFormat::kJsonLines:
        return ReadJson(line);
      case TraceFormat::kCombined:
        break;
    }
    return ReadCombined(line);
  }

 private:
  // Returns the index of the column in a CSV line, or nothing if there is no such column.
  std::optional<std::size_t> ColumnIndex(const std::string& name) const {
    const auto found = std::find(header_.begin(), header_.end(), name);
    if (found == header_.end()) return std::nullopt;
    return static_cast<std::size_t>(found - header_.begin());
  }

  void ReadCsvHeader(const std::string& line) {
    header_ = ParseCsvLine(line);
    const auto time = ColumnIndex(options_.columns.time);
    if (!time) {
      throw std::runtime_error("the first line has no column '" + options_.columns.time + "' for the time");
    }
    time_index_ = *time;
    class_index_ = ColumnIndex(options_.columns.message_class);
    destination_index_ = ColumnIndex(options_.columns.destination);
    bytes_index_ = ColumnIndex(options_.columns.bytes);
    client_index_ = ColumnIndex(options_.columns.client);
  }

  TraceEntry ReadCsv(const std::string& line) const {
    const std::vector<std::string> fields = ParseCsvLine(line);
    if (fields.size() != header_.size()) {
      throw LineError(line.size() + 1,
                      fmt::format("{} fields as in the first line, found {}", header_.size(), fields.size()));
    }
    const auto field_at = [&](const std::optional<std::size_t>& index) {
      return index ? fields[*index] : std::string();
    };
    TraceEntry entry{0, field_at(class_index_), field_at(destination_index_), field_at(bytes_index_),
                     field_at(client_index_)};
    try {
      entry.at_s = ParseTime(fields[time_index_], options_.time_unit_s);
    } catch (const LineError& error) {
      std::size_t column = 1;
      for (std::size_t i = 0; i < time_index_; ++i) column += fields[i].size() + 1;
      throw LineError(column, error.what());
    }
    return entry;
  }

  TraceEntry ReadJson(const std::string& line) const {
    nlohmann::json json;
    try {
      json = nlohmann::json::parse(line);
    } catch (const nlohmann::json::parse_error& error) {
      throw LineError(error.byte, "JSON");
    }
    if (!json.is_object()) throw LineError(1, "an object");
    const auto read_member = [&](const std::string& key) {
      const auto found = json.find(key);
      if (found == json.end() || found->is_null()) return std::string();
      return found->is_string() ? found->get<std::string>() : found->dump();
    };
    const std::string time = read_member(options_.columns.time);
    if (time.empty()) throw LineError(1, "the key '" + options_.columns.time + "'");
    return {ParseTime(time, options_.time_unit_s), read_member(options_.columns.message_class),
            read_member(options_.columns.destination), read_member(options_.columns.bytes),
            read_member(options_.columns.client)};
  }

  TraceEntry ReadCombined(const std::string& line) const {
    const CombinedLine parts = ParseCombinedLine(line);
    TraceEntry entry;
    entry.at_s = ParseTime(parts.time, options_.time_unit_s);
    entry.client = parts.host;
    const std::size_t path = parts.request.find('/');
    if (path == std::string::npos) throw LineError(line.find('"') + 2, "a request with a path");
    const std::size_t first_part_end = parts.request.find_first_of("/? ", path + 1);
    const std::size_t first_part_size =
        first_part_end == std::string::npos ? std::string::npos : first_part_end - path - 1;
    entry.message_class = parts.request.substr(path + 1, first_part_size);
    entry.destination = parts.request.substr(path, parts.request.find(' ', path) - path);
    return entry;
  }

  const ImportOptions& options_;
  std::vector<std::string> header_;  // column names of a CSV file; empty before its first line
  std::size_t time_index_ = 0;
  std::optional<std::size_t> class_index_;
  std::optional<std::size_t> destination_index_;
  std::optional<std::size_t> bytes_index_;
  std::optional<std::size_t> client_index_;
};

class TraceImporter {
 public:
  explicit TraceImporter(const ImportOptions& options)
      : options_(options), reader_(options), random_(Stream(options.seed, "import")) {
    result_.classes = options.classes;
  }

  ImportResult Run(std::istream& in) {
    for (std::string line; std::getline(in, line);) {
      ++result_.line_count;
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.empty()) continue;
      try {  // A malformed line is counted, because the next one may be well-formed.
        if (const auto entry = reader_.Read(line)) AddMessage(*entry);
      } catch (const LineError& error) {
        AddMalformedLine({result_.line_count, static_cast<std::int64_t>(error.column), error.what()});
      }
    }
    if (result_.messages.empty()) {
      const auto& malformed = result_.malformed_lines;
      throw std::runtime_error("no line could be read" +
                               (malformed.empty() ? std::string() : ": " + Describe(malformed.front())));
    }
    ScaleAndCut();
    return std::move(result_);
  }

 private:
  void AddMalformedLine(const MalformedLine& malformed) {
    ++result_.malformed_count;
    if (result_.malformed_lines.size() < kMaxRecordedMalformedLines)
      result_.malformed_lines.push_back(malformed);
    if (options_.strict) throw std::runtime_error(Describe(malformed));
  }

  std::uint64_t Hash(const std::string& text) const {
    return XXH3_64bits_withSeed(text.data(), text.size(), options_.seed);
  }

  // Returns the index of a class. A new class is added if all classes are accepted and its name is usable;
  // otherwise the index is that of the first class.
  std::int32_t ClassIndex(const std::string& name) {
    const auto found = std::find(result_.classes.begin(), result_.classes.end(), name);
    if (found != result_.classes.end()) return static_cast<std::int32_t>(found - result_.classes.begin());
    if (!options_.classes.empty()) return 0;
    const bool is_usable = !name.empty() && name.find_first_not_of(kClassNameBytes) == std::string::npos;
    if (result_.classes.size() >= kMaxClasses || !is_usable) {
      if (result_.classes.empty()) result_.classes.emplace_back("other");
      return 0;
    }
    result_.classes.push_back(name);
    return static_cast<std::int32_t>(result_.classes.size()) - 1;
  }

  std::int32_t DestinationOf(const TraceEntry& entry) const {
    if (options_.destinations > 0) {
      const auto destinations = static_cast<std::uint64_t>(options_.destinations);
      return static_cast<std::int32_t>(Hash(entry.destination) % destinations);
    }
    return std::max(0, ParseInteger(entry.destination).value_or(0));
  }

  void AddMessage(const TraceEntry& entry) {
    if (!std::isfinite(entry.at_s) || std::abs(entry.at_s) > kMaxAbsoluteTimeSeconds) {
      throw LineError(1, "a time between -1e11 and 1e11 seconds");
    }
    PlannedMessage message;
    message.at_us = std::llround(entry.at_s * 1e6);
    message.message_class = ClassIndex(entry.message_class);
    message.destination = DestinationOf(entry);
    const auto bytes = ParseInteger(entry.bytes);
    message.body_bytes = bytes ? std::clamp(*bytes, 1, kMaxBodyBytes) : options_.bytes;
    message.client = static_cast<std::int32_t>(Hash(entry.client) % kClientCount);
    if (message.at_us < latest_us_) {
      ++result_.out_of_order_lines;
      const double backward_s = static_cast<double>(latest_us_ - message.at_us) / 1e6;
      result_.max_backward_s = std::max(result_.max_backward_s, backward_s);
    }
    latest_us_ = std::max(latest_us_, message.at_us);
    result_.messages.push_back(message);
  }

  // Returns how often a message is offered according to the rate scale. The fractional part of the scale is
  // the probability of one more copy.
  int DrawCopies() {
    constexpr double kRoundingTolerance = 1e-9;
    const auto whole = static_cast<int>(std::floor(options_.rate_scale + kRoundingTolerance));
    const bool has_extra = boost::random::uniform_01<>()(random_) < options_.rate_scale - whole;
    return whole + (has_extra ? 1 : 0);
  }

  void ScaleAndCut() {
    std::vector<PlannedMessage>& messages = result_.messages;
    std::stable_sort(messages.begin(), messages.end(),
                     [](const PlannedMessage& a, const PlannedMessage& b) { return a.at_us < b.at_us; });
    const std::int64_t first_us = messages.front().at_us;
    std::vector<PlannedMessage> scaled;
    for (std::size_t i = 0; i < messages.size(); ++i) {
      const PlannedMessage& original = messages[i];
      const std::int64_t next_us = i + 1 < messages.size() ? messages[i + 1].at_us : original.at_us;
      const int copies = DrawCopies();
      for (int copy = 0; copy < copies; ++copy) {
        const double spread_us = static_cast<double>(next_us - original.at_us) * copy / copies;
        const double at_us = static_cast<double>(original.at_us - first_us) + spread_us;
        const double scaled_s = at_us * options_.time_scale / 1e6;
        if (scaled_s < options_.from_s || (options_.to_s > 0 && scaled_s >= options_.to_s)) continue;
        PlannedMessage message = original;
        message.at_us = std::llround((scaled_s - options_.from_s) * 1e6);
        message.number = static_cast<std::int64_t>(scaled.size());
        scaled.push_back(message);
      }
    }
    messages = std::move(scaled);
  }

  const ImportOptions& options_;
  EntryReader reader_;
  Random random_;
  std::int64_t latest_us_ = std::numeric_limits<std::int64_t>::min();
  ImportResult result_;
};

}  // namespace

ImportResult ImportTrace(std::istream& in, const ImportOptions& options) {
  return TraceImporter(options).Run(in);
}

}  // namespace sagetally::loadtest
