#include "loadtest/report/message_record.h"

#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

// Names in observation files, indexed by ObservationKind.
constexpr const char* kKindNames[] = {"delivered", "effect", "undeliverable", "deferred"};

ObservationKind KindFromName(const std::string& name) {
  for (std::size_t i = 0; i < std::size(kKindNames); ++i) {
    if (name == kKindNames[i]) return static_cast<ObservationKind>(i);
  }
  throw std::runtime_error("unknown observation kind '" + name + "'");
}

// Reads one line of an observation file into `result`. The first line may be the header.
void ReadLine(const std::string& line, bool is_first, ObservationFile& result) {
  const auto json = nlohmann::json::parse(line);
  if (is_first && json.contains("standins")) {
    result.started_us = json.at("started_us");
    result.faults = FaultTimeline::FromJson(json.at("timeline")).spans();
    return;
  }
  const auto kind_name = json.at("what").get<std::string>();
  Observation observation{ObservationKind::kDelivered, json.at("at_us"), json.at("id")};
  observation.kind = KindFromName(kind_name);
  result.observations.push_back(std::move(observation));
}

}  // namespace

const char* Name(ObservationKind kind) { return kKindNames[static_cast<int>(kind)]; }

void WriteObservation(std::ostream& out, const Observation& observation) {
  const nlohmann::json id = observation.id;
  out << fmt::format(R"({{"what":"{}","at_us":{},"id":{}}})", Name(observation.kind), observation.at_us,
                     id.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace))
      << "\n";
}

void WriteObservationHeader(std::ostream& out, std::int64_t started_us, const FaultTimeline& timeline) {
  const nlohmann::json header = {
      {"standins", 1}, {"started_us", started_us}, {"timeline", timeline.ToJson()}};
  out << header.dump() << "\n";
}

ObservationFile ReadObservations(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  ObservationFile result;
  std::int64_t line_number = 0;
  for (std::string line; std::getline(file, line);) {
    ++line_number;
    try {
      ReadLine(line, line_number == 1, result);
    } catch (const std::exception& error) {
      if (file.eof()) break;  // the last line is incomplete: its writer may still be running
      throw std::runtime_error(path + ":" + std::to_string(line_number) + ": " + error.what());
    }
  }
  return result;
}

}  // namespace sagetally::loadtest
