#include "loadtest/stub/timeline.h"

#include <boost/random/uniform_01.hpp>
#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

constexpr const char* kNames[] = {"well",  "slow",   "silent", "late",  "refuse", "full", "error",
                                  "reset", "spoilt", "half",   "twice", "pause",  "shut"};

}  // namespace

const char* Name(Fault fault) { return kNames[static_cast<int>(fault)]; }

std::optional<Fault> FaultNamed(const std::string& name) {
  for (int i = 0; i <= static_cast<int>(Fault::kShut); ++i) {
    if (name == kNames[i]) return static_cast<Fault>(i);
  }
  return std::nullopt;
}

Timeline Timeline::FromJson(const nlohmann::json& list) {
  std::vector<FaultSpan> spans;
  for (const auto& json : list) {
    FaultSpan s;
    s.fault = FaultNamed(json.at("fault").get<std::string>()).value();
    s.from_ms = json.value("at_ms", 0.0);
    s.for_ms = json.value("for_ms", 1e15);
    s.endpoint = json.value("endpoint", "");
    if (json.contains("destination")) s.destination = json["destination"].get<int>();
    s.share = json.value("share", s.share);
    s.ms = json.value("ms", s.ms);
    s.times = json.value("times", s.times);
    spans.push_back(s);
  }
  return Timeline(std::move(spans));
}

nlohmann::json Timeline::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const FaultSpan& s : spans_) {
    list.push_back({{"fault", Name(s.fault)},
                    {"at_ms", s.from_ms},
                    {"for_ms", s.for_ms},
                    {"endpoint", s.endpoint},
                    {"share", s.share},
                    {"ms", s.ms},
                    {"times", s.times}});
    if (s.destination) list.back()["destination"] = *s.destination;
  }
  return list;
}

FaultSpan Timeline::Draw(double now_ms, const std::string& endpoint, int destination, Random& random) const {
  for (const FaultSpan& s : spans_) {
    if (s.OfListener() || !s.At(now_ms, endpoint, destination)) continue;
    if (s.share >= 1 || boost::random::uniform_01<>()(random) < s.share) return s;
  }
  return {};
}

}  // namespace sagetally::loadtest
