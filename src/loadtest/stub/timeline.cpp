#include "loadtest/stub/timeline.h"

#include <boost/random/uniform_01.hpp>
#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

// The names of faults in JSON, indexed by Fault.
constexpr const char* kFaultNames[] = {"well",  "slow",   "silent", "late",  "refuse", "full", "error",
                                       "reset", "spoilt", "half",   "twice", "pause",  "shut"};

// The duration of a span whose JSON has no duration.
constexpr double kUnlimitedDurationMs = 1e15;

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
    span.for_ms = json.value("for_ms", kUnlimitedDurationMs);
    span.endpoint = json.value("endpoint", "");
    if (json.contains("destination")) span.destination = json["destination"].get<int>();
    span.share = json.value("share", span.share);
    span.ms = json.value("ms", span.ms);
    span.slowdown_factor = json.value("times", span.slowdown_factor);
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
                    {"times", span.slowdown_factor}});
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
