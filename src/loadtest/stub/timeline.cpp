#include "loadtest/stub/timeline.h"

#include <boost/random/uniform_01.hpp>
#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

// Names in timelines, by Fault.
constexpr const char* kFaultNames[] = {"well",  "slow",   "silent", "late",  "refuse", "full", "error",
                                       "reset", "spoilt", "half",   "twice", "pause",  "shut"};

// Of a span that doesn't say how long it lasts.
constexpr double kWithoutEndMs = 1e15;

}  // namespace

const char* Name(Fault fault) { return kFaultNames[static_cast<int>(fault)]; }

std::optional<Fault> FaultNamed(const std::string& name) {
  for (std::size_t i = 0; i < std::size(kFaultNames); ++i) {
    if (name == kFaultNames[i]) return static_cast<Fault>(i);
  }
  return std::nullopt;
}

FaultTimeline FaultTimeline::FromJson(const nlohmann::json& list) {
  std::vector<FaultSpan> spans;
  for (const auto& json : list) {
    FaultSpan span;
    span.fault = FaultNamed(json.at("fault").get<std::string>()).value();
    span.from_ms = json.value("at_ms", 0.0);
    span.for_ms = json.value("for_ms", kWithoutEndMs);
    span.endpoint = json.value("endpoint", "");
    if (json.contains("destination")) span.destination = json["destination"].get<int>();
    span.share = json.value("share", span.share);
    span.ms = json.value("ms", span.ms);
    span.times = json.value("times", span.times);
    spans.push_back(span);
  }
  return FaultTimeline(std::move(spans));
}

nlohmann::json FaultTimeline::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const FaultSpan& span : spans_) {
    list.push_back({{"fault", Name(span.fault)},
                    {"at_ms", span.from_ms},
                    {"for_ms", span.for_ms},
                    {"endpoint", span.endpoint},
                    {"share", span.share},
                    {"ms", span.ms},
                    {"times", span.times}});
    if (span.destination) list.back()["destination"] = *span.destination;
  }
  return list;
}

FaultSpan FaultTimeline::Draw(double now_ms, const std::string& endpoint, int destination,
                              Random& random) const {
  for (const FaultSpan& span : spans_) {
    if (span.AffectsListener() || !span.Covers(now_ms, endpoint, destination)) continue;
    if (span.share >= 1 || boost::random::uniform_01<>()(random) < span.share) return span;
  }
  return {};
}

}  // namespace sagetally::loadtest
