#include "loadtest/load/trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

std::vector<std::string> NamesOf(const Scenario& scenario) {
  std::vector<std::string> names;
  for (const ClassMix& c : scenario.classes) names.push_back(c.name);
  return names;
}

}  // namespace

TraceWriter::TraceWriter(const std::string& path, const Scenario& scenario)
    : TraceWriter(path, NamesOf(scenario)) {}

TraceWriter::TraceWriter(const std::string& path, const std::vector<std::string>& classes)
    : path_(path), file_(path, std::ios::trunc), classes_(classes) {
  if (!file_) throw std::runtime_error(path + ": can't be written");
  file_ << nlohmann::json{{"trace", "sagetally"}, {"version", 1}, {"classes", classes}}.dump() << "\n";
}

void TraceWriter::Write(const Planned& p) {
  file_ << fmt::format(R"({{"at_us":{},"class":"{}","destination":{},"bytes":{},"caller":{}}})", p.at_us,
                       classes_.at(static_cast<std::size_t>(p.message_class)), p.destination, p.body_bytes,
                       p.caller)
        << "\n";
}

void TraceWriter::Close() {
  file_.close();
  if (!file_) throw std::runtime_error(path_ + ": can't be written to its end");
}

TraceReader::TraceReader(const std::string& path, const Scenario& scenario)
    : path_(path), seconds_(scenario.seconds), file_(path), classes_(NamesOf(scenario)) {
  if (!file_) throw std::runtime_error(path + ": can't be read");
  std::string line;
  std::getline(file_, line);
  ++line_;
  const auto head = nlohmann::json::parse(line, nullptr, false);
  if (!head.is_object() || head.value("trace", "") != "sagetally" || head.value("version", 0) != 1) {
    throw std::runtime_error(path +
                             ":1: expected the head of a trace; import foreign ones with "
                             "`sagetally-loadtest trace import`");
  }
}

std::optional<Planned> TraceReader::Next() {
  std::string line;
  if (!std::getline(file_, line)) return std::nullopt;
  ++line_;
  try {
    const auto json = nlohmann::json::parse(line);
    const auto name = json.at("class").get<std::string>();
    const auto at = std::find(classes_.begin(), classes_.end(), name);
    if (at == classes_.end()) throw std::runtime_error("class '" + name + "' is none of the scenario's");
    Planned p;
    p.at_us = json.at("at_us");
    p.message_class = static_cast<std::int32_t>(at - classes_.begin());
    p.destination = json.at("destination");
    p.body_bytes = std::clamp(json.value("bytes", 200), 1, 65536);
    p.caller = json.value("caller", 0);
    if (p.at_us < last_us_)
      throw std::runtime_error("its time goes back; traces are sorted when they are imported");
    if (static_cast<double>(p.at_us) >= seconds_ * 1e6) return std::nullopt;
    last_us_ = p.at_us;
    p.number = number_++;
    return p;
  } catch (const std::exception& error) {
    throw std::runtime_error(fmt::format("{}:{}: {}", path_, line_, error.what()));
  }
}

}  // namespace sagetally::loadtest
