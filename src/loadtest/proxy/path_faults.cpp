#include "loadtest/proxy/path_faults.h"

#include <algorithm>
#include <stdexcept>

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

// Names in fault files, indexed by PathFault.
constexpr std::array<const char*, kPathFaultCount> kNames = {"repeated_answer",
                                                             "answer_repeated_in_halves",
                                                             "truncated_repeat",
                                                             "unasked_answer",
                                                             "delayed_answer",
                                                             "stalled_answer",
                                                             "split_answer",
                                                             "delayed_request",
                                                             "split_request",
                                                             "reset_before_answer",
                                                             "reset_amid_answer",
                                                             "reset_after_answer",
                                                             "end_after_answer",
                                                             "late_connection",
                                                             "forgotten_connection",
                                                             "repeated_request",
                                                             "request_repeated_in_halves",
                                                             "truncated_request_repeat",
                                                             "request_repeated_elsewhere"};

PathFault FaultFromName(const std::string& name) {
  const auto* const found = std::ranges::find(kNames, name);
  if (found == kNames.end()) throw std::runtime_error("/faults: unknown fault " + name);
  return static_cast<PathFault>(found - kNames.begin());
}

PathFaultRate RateFromJson(const std::string& name, const Json& json) {
  PathFaultRate rate;
  try {
    rate.share = json.at("share").get<double>();
    rate.min_delay_ms = json.value("min_delay_ms", 0.0);
    rate.max_delay_ms = json.value("max_delay_ms", rate.min_delay_ms);
  } catch (const Json::exception&) {
    throw std::runtime_error("/faults/" + name + ": expected share and delays as numbers");
  }
  const bool is_valid =
      rate.share >= 0 && rate.share <= 1 && rate.min_delay_ms >= 0 && rate.max_delay_ms >= rate.min_delay_ms;
  if (!is_valid) throw std::runtime_error("/faults/" + name + ": share or delays are out of range");
  return rate;
}

}  // namespace

const char* Name(PathFault fault) { return kNames.at(static_cast<std::size_t>(fault)); }

Json ToJson(const PathFaults& faults) {
  Json rates = Json::object();
  for (const auto& [fault, rate] : faults.rates) {
    rates[Name(fault)] = {
        {"share", rate.share}, {"min_delay_ms", rate.min_delay_ms}, {"max_delay_ms", rate.max_delay_ms}};
  }
  return {{"seed", faults.seed}, {"faults", rates}};
}

PathFaults PathFaultsFromJson(const Json& json) {
  PathFaults faults;
  if (!json.is_object()) throw std::runtime_error("expected an object");
  faults.seed = json.value("seed", faults.seed);
  const Json rates = json.value("faults", Json::object());
  for (const auto& [name, rate] : rates.items()) {
    faults.rates[FaultFromName(name)] = RateFromJson(name, rate);
  }
  return faults;
}

}  // namespace sagetally::loadtest
