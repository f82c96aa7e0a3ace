#include "loadtest/load/trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

std::vector<std::string> ClassNames(const Scenario& scenario) {
  std::vector<std::string> names;
  for (const MessageClass& message_class : scenario.classes) names.push_back(message_class.name);
  return names;
}

}  // namespace

TraceWriter::TraceWriter(const std::string& path, const Scenario& scenario)
    : TraceWriter(path, ClassNames(scenario)) {}

TraceWriter::TraceWriter(const std::string& path, const std::vector<std::string>& classes)
    : path_(path), file_(path, std::ios::trunc), classes_(classes) {
  if (!file_) throw std::runtime_error(path + ": can't be written");
  file_ << nlohmann::json{{"trace", "sagetally"}, {"version", 1}, {"classes", classes}}.dump() << "\n";
}

void TraceWriter::Write(const PlannedMessage& message) {
  file_ << fmt::format(R"({{"at_us":{},"class":"{}","destination":{},"bytes":{},"caller":{}}})",
                       message.at_us, classes_.at(static_cast<std::size_t>(message.message_class)),
                       message.destination, message.body_bytes, message.client)
        << "\n";
}

void TraceWriter::Close() {
  file_.close();
  if (!file_) throw std::runtime_error(path_ + ": could not be written completely");
}

TraceReader::TraceReader(const std::string& path, const Scenario& scenario)
    : path_(path), seconds_(scenario.seconds), file_(path), classes_(ClassNames(scenario)) {
  if (!file_) throw std::runtime_error(path + ": can't be read");
  std::string line;
  std::getline(file_, line);
  ++line_number_;
  const auto header = nlohmann::json::parse(line, nullptr, false);
  if (!header.is_object() || header.value("trace", "") != "sagetally" || header.value("version", 0) != 1) {
    throw std::runtime_error(path +
                             ":1: expected the header of a trace; import traces of other programs with "
                             "`sagetally-loadtest trace import`");
  }
}

std::optional<PlannedMessage> TraceReader::Next() {
  std::string line;
  if (!std::getline(file_, line)) return std::nullopt;
  ++line_number_;
  try {
    PlannedMessage message = ParseMessage(line);
    if (static_cast<double>(message.at_us) >= seconds_ * 1e6) return std::nullopt;
    last_us_ = message.at_us;
    message.number = next_number_++;
    return message;
  } catch (const std::exception& error) {
    throw std::runtime_error(fmt::format("{}:{}: {}", path_, line_number_, error.what()));
  }
}

PlannedMessage TraceReader::ParseMessage(const std::string& line) const {
  const auto json = nlohmann::json::parse(line);
  const auto class_name = json.at("class").get<std::string>();
  const auto found = std::find(classes_.begin(), classes_.end(), class_name);
  if (found == classes_.end()) {
    throw std::runtime_error("the scenario has no class '" + class_name + "'");
  }
  PlannedMessage message;
  message.at_us = json.at("at_us");
  message.message_class = static_cast<std::int32_t>(found - classes_.begin());
  message.destination = json.at("destination");
  message.body_bytes = std::clamp(json.value("bytes", 200), 1, 65536);
  message.client = json.value("caller", 0);
  if (message.at_us < last_us_) {
    throw std::runtime_error("its time goes back; traces are sorted when they are imported");
  }
  return message;
}

}  // namespace sagetally::loadtest
