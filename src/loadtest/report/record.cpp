#include "loadtest/report/record.h"

#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>

namespace sagetally::loadtest {

const char* Name(SeenKind kind) {
  static constexpr const char* kNames[] = {"delivered", "effect", "undeliverable", "deferred"};
  return kNames[static_cast<int>(kind)];
}

void Write(std::ostream& out, const Sighting& sighting) {
  const nlohmann::json id = sighting.id;
  out << fmt::format(R"({{"what":"{}","at_us":{},"id":{}}})", Name(sighting.kind), sighting.at_us,
                     id.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace))
      << "\n";
}

void WriteHead(std::ostream& out, std::int64_t started_us, const Timeline& timeline) {
  const nlohmann::json head = {{"standins", 1}, {"started_us", started_us}, {"timeline", timeline.ToJson()}};
  out << head.dump() << "\n";
}

Observed ReadObserved(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  Observed observed;
  std::int64_t number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    try {
      const auto json = nlohmann::json::parse(line);
      if (number == 1 && json.contains("standins")) {
        observed.started_us = json.at("started_us");
        observed.faults = Timeline::FromJson(json.at("timeline")).spans();
        continue;
      }
      const auto what = json.at("what").get<std::string>();
      Sighting s{SeenKind::kDelivered, json.at("at_us"), json.at("id")};
      while (what != Name(s.kind)) {
        if (s.kind == SeenKind::kDeferred) throw std::runtime_error("unknown sighting '" + what + "'");
        s.kind = static_cast<SeenKind>(static_cast<int>(s.kind) + 1);
      }
      observed.sightings.push_back(std::move(s));
    } catch (const std::exception& error) {
      if (file.eof()) break;  // a last line that its writer had no time to end
      throw std::runtime_error(path + ":" + std::to_string(number) + ": " + error.what());
    }
  }
  return observed;
}

}  // namespace sagetally::loadtest
