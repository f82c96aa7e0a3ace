#include "loadtest/soak/soak_schedule.h"

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <fstream>
#include <stdexcept>

#include "loadtest/demo/demo_config.h"
#include "loadtest/random.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

constexpr int kMaxNodes = 4;
// Fraction of the runs with a crowd, and with system call faults.
constexpr double kCrowdRunFraction = 0.35;
constexpr double kCallFaultRunFraction = 0.7;
// Fraction of the runs in which a path has faults, and the probability of each of its faults then.
constexpr double kPathFaultRunFraction = 0.7;
constexpr double kPathFaultChance = 0.3;
// Probability that a signal is followed by another one, and the longest time between them.
constexpr double kSignalSeriesChance = 0.5;
constexpr double kMaxSignalIntervalMs = 600;
// Descriptor limit of each node in a run with a crowd (in some of them, see DrawMemoryAndCrowd), and in
// others.
constexpr int kCrowdRunDescriptors = 256;
constexpr int kDefaultDescriptors = 1024;
// The least memory limit of a deployment, which half of the runs have.
constexpr double kLeastMemoryMegabytes = 32;

// Names in schedule files, indexed by NodeFault.
constexpr std::array<const char*, 4> kNodeFaultNames = {"restart", "kill", "reload", "pause"};

// Faults of system calls, as the fault shim reads them: CALL:FAULT=PROBABILITY. A run with system call faults
// draws each with a probability of 0.25.
constexpr std::array<const char*, 12> kCallFaults = {
    "writev:ENOBUFS=0.02", "writev:short=0.2",          "readv:short=0.2",         "readv:EINTR=0.1",
    "readv:ENOMEM=0.02",   "send:ENOBUFS=0.05",         "accept:ECONNABORTED=0.1", "accept:EMFILE=0.1",
    "socket:EMFILE=0.1",   "connect:EADDRNOTAVAIL=0.1", "epoll_wait:EINTR=0.05",   "write:ENOSPC=0.02"};

// Faults of the stub servers that a run draws from.
constexpr std::array<const char*, 6> kPartnerFaults = {"error", "silent", "reset", "shut", "full", "spoilt"};

// Random values for one schedule.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : random_(Stream(seed, "soak")) {}
  int Integer(int least, int most) {
    return boost::random::uniform_int_distribution<int>(least, most)(random_);
  }
  double Real(double least, double most) {
    return boost::random::uniform_real_distribution<double>(least, most)(random_);
  }
  bool Chance(double probability) { return Real(0, 1) < probability; }

 private:
  Random random_;
};

std::string DrawCallFaults(Draws& draws) {
  if (!draws.Chance(kCallFaultRunFraction)) return "";
  std::string faults;
  for (const char* fault : kCallFaults) {
    if (!draws.Chance(0.25)) continue;
    faults += std::string(faults.empty() ? "" : ",") + fault;
  }
  return faults;
}

// A node gets further signals within a short time after the first one.
void AddSignalsInSeries(Draws& draws, std::vector<NodeFaultEvent>& events) {
  const std::vector<NodeFaultEvent> first = events;
  for (const NodeFaultEvent& event : first) {
    if (!draws.Chance(kSignalSeriesChance)) continue;
    NodeFaultEvent next = event;
    next.fault = draws.Chance(0.5) ? NodeFault::kReload : NodeFault::kRestart;
    next.at_ms += draws.Real(0, kMaxSignalIntervalMs);
    events.push_back(next);
  }
}

std::vector<NodeFaultEvent> DrawNodeFaults(Draws& draws, const SoakSchedule& schedule) {
  std::vector<NodeFaultEvent> events;
  const int count = draws.Integer(0, 3);
  for (int i = 0; i < count; ++i) {
    NodeFaultEvent event;
    event.fault = static_cast<NodeFault>(draws.Integer(0, static_cast<int>(kNodeFaultNames.size()) - 1));
    event.at_ms = draws.Real(500, schedule.seconds * 700);
    event.node = draws.Integer(0, schedule.nodes - 1);
    events.push_back(event);
  }
  AddSignalsInSeries(draws, events);
  std::ranges::sort(events, {}, &NodeFaultEvent::at_ms);
  return events;
}

std::vector<PartnerFaultEvent> DrawPartnerFaults(Draws& draws, const SoakSchedule& schedule) {
  std::vector<PartnerFaultEvent> events;
  const int count = draws.Integer(0, 4);
  for (int i = 0; i < count; ++i) {
    PartnerFaultEvent event;
    event.fault = kPartnerFaults.at(
        static_cast<std::size_t>(draws.Integer(0, static_cast<int>(kPartnerFaults.size()) - 1)));
    event.at_ms = draws.Real(0, schedule.seconds * 800);
    event.for_ms = draws.Real(300, 3000);
    event.destination = draws.Integer(0, kDemoDestinations - 1);
    event.share = draws.Chance(0.5) ? 1 : draws.Real(0.1, 0.9);
    events.push_back(event);
  }
  return events;
}

// Half of the runs have the least memory. Half of the crowds send more than half heads, and some of those are
// larger, at nodes with more descriptors. Drawn last, so that each seed's other faults stay as they were.
void DrawMemoryAndCrowd(Draws& draws, SoakSchedule& schedule) {
  if (draws.Chance(0.5)) schedule.memory_mb = kLeastMemoryMegabytes;
  if (schedule.crowd.connections == 0 || draws.Chance(0.5)) return;
  schedule.has_cloudevents = draws.Chance(0.5);
  if (draws.Chance(0.5)) {
    schedule.crowd.connections = 400;
    schedule.descriptor_limit = kDefaultDescriptors;
  }
  schedule.crowd.behaviors.clear();
  for (int i = 0; i < 3; ++i) {
    const int last = static_cast<int>(CrowdBehavior::kUnreadResponses);
    schedule.crowd.behaviors.push_back(static_cast<CrowdBehavior>(draws.Integer(0, last)));
  }
}

// A fault that a run may draw for a path, with the largest share and delay.
struct DrawnPathFault {
  PathFault fault = PathFault::kRepeatedAnswer;
  double max_share = 0;
  double min_delay_ms = 0;
  double max_delay_ms = 0;
};

// A client that gets no answer can't tell whether its message was taken, so its path loses nothing.
constexpr std::array<DrawnPathFault, 13> kClientPathFaults = {
    {{PathFault::kRepeatedRequest, 0.05, 0, 8},
     {PathFault::kRepeatedRequest, 0.05, 10, 60},
     {PathFault::kRepeatedRequest, 0.05, 300, 3000},
     {PathFault::kRequestRepeatedInHalves, 0.02, 0, 60},
     {PathFault::kTruncatedRequestRepeat, 0.01, 0, 60},
     {PathFault::kRequestRepeatedElsewhere, 0.05, 0, 20},
     {PathFault::kRequestRepeatedElsewhere, 0.05, 300, 3000},
     {PathFault::kDelayedRequest, 0.1, 0, 40},
     {PathFault::kSplitRequest, 0.2, 0, 0},
     {PathFault::kDelayedAnswer, 0.1, 0, 60},
     {PathFault::kStalledAnswer, 0.1, 0, 60},
     {PathFault::kSplitAnswer, 0.2, 0, 0},
     {PathFault::kLateConnection, 0.2, 0, 100}}};
constexpr std::array<DrawnPathFault, 15> kPartnerPathFaults = {
    {{PathFault::kRepeatedAnswer, 0.05, 0, 8},
     {PathFault::kRepeatedAnswer, 0.05, 10, 60},
     {PathFault::kAnswerRepeatedInHalves, 0.05, 0, 8},
     {PathFault::kTruncatedRepeat, 0.05, 0, 30},
     {PathFault::kUnaskedAnswer, 0.05, 0, 200},
     {PathFault::kDelayedAnswer, 0.1, 0, 60},
     {PathFault::kStalledAnswer, 0.1, 0, 60},
     {PathFault::kSplitAnswer, 0.2, 0, 0},
     {PathFault::kSplitRequest, 0.2, 0, 0},
     {PathFault::kResetBeforeAnswer, 0.03, 0, 0},
     {PathFault::kResetAmidAnswer, 0.03, 0, 0},
     {PathFault::kResetAfterAnswer, 0.05, 0, 50},
     {PathFault::kEndAfterAnswer, 0.05, 0, 50},
     {PathFault::kLateConnection, 0.1, 0, 800},
     {PathFault::kForgottenConnection, 0.05, 0, 0}}};
constexpr std::array<DrawnPathFault, 9> kAgentPathFaults = {{{PathFault::kRepeatedAnswer, 0.3, 0, 9},
                                                             {PathFault::kTruncatedRepeat, 0.3, 0, 9},
                                                             {PathFault::kDelayedAnswer, 0.3, 0, 300},
                                                             {PathFault::kSplitAnswer, 0.3, 0, 0},
                                                             {PathFault::kSplitRequest, 0.3, 0, 0},
                                                             {PathFault::kResetBeforeAnswer, 0.2, 0, 0},
                                                             {PathFault::kResetAmidAnswer, 0.2, 0, 0},
                                                             {PathFault::kLateConnection, 0.2, 0, 400},
                                                             {PathFault::kForgottenConnection, 0.1, 0, 0}}};

template <std::size_t kCount>
PathFaults DrawPathFaults(Draws& draws, std::uint64_t seed,
                          const std::array<DrawnPathFault, kCount>& faults) {
  PathFaults drawn;
  drawn.seed = seed;
  if (!draws.Chance(kPathFaultRunFraction)) return drawn;
  for (const DrawnPathFault& fault : faults) {
    if (!draws.Chance(kPathFaultChance)) continue;
    drawn.rates[fault.fault] = {draws.Real(0.2, 1) * fault.max_share, fault.min_delay_ms, fault.max_delay_ms};
  }
  return drawn;
}

template <typename T>
T Get(const Json& json, const std::string& key) {
  try {
    return json.at(key).get<T>();
  } catch (const Json::exception&) {
    throw std::runtime_error("/" + key + ": missing or of the wrong type");
  }
}

NodeFault NodeFaultFromName(const std::string& name) {
  const auto* const found = std::ranges::find(kNodeFaultNames, name);
  if (found == kNodeFaultNames.end()) {
    throw std::runtime_error("/node_faults: expected restart, kill, reload or pause, not " + name);
  }
  return static_cast<NodeFault>(found - kNodeFaultNames.begin());
}

std::vector<CrowdBehavior> CrowdBehaviorsFromJson(const Json& json) {
  std::vector<CrowdBehavior> behaviors;
  for (const auto& name : Get<std::vector<std::string>>(json, "crowd_behaviors")) {
    const std::optional<CrowdBehavior> behavior = CrowdBehaviorFromName(name);
    if (!behavior) throw std::runtime_error("/crowd_behaviors: there is no behavior " + name);
    behaviors.push_back(*behavior);
  }
  if (behaviors.empty()) throw std::runtime_error("/crowd_behaviors: expected one at least");
  return behaviors;
}

SoakSchedule FromJson(const Json& json) {
  SoakSchedule schedule;
  schedule.seed = Get<std::uint64_t>(json, "seed");
  schedule.seconds = Get<double>(json, "seconds");
  schedule.nodes = Get<int>(json, "nodes");
  schedule.clients_per_node = Get<int>(json, "clients_per_node");
  schedule.crowd.connections = Get<int>(json, "crowd");
  if (json.contains("crowd_behaviors")) schedule.crowd.behaviors = CrowdBehaviorsFromJson(json);
  schedule.descriptor_limit = Get<int>(json, "sockets");
  schedule.call_faults = Get<std::string>(json, "call_faults");
  for (const Json& event : Get<Json>(json, "node_faults")) {
    schedule.node_faults.push_back({NodeFaultFromName(Get<std::string>(event, "fault")),
                                    Get<double>(event, "at_ms"), Get<int>(event, "node")});
  }
  for (const Json& event : Get<Json>(json, "partner_faults")) {
    schedule.partner_faults.push_back({Get<std::string>(event, "fault"), Get<double>(event, "at_ms"),
                                       Get<double>(event, "for_ms"), Get<int>(event, "destination"),
                                       Get<double>(event, "share")});
  }
  schedule.max_pending = json.value("max_pending", schedule.max_pending);
  schedule.memory_mb = json.value("memory_mb", schedule.memory_mb);
  schedule.has_cloudevents = json.value("cloudevents", schedule.has_cloudevents);
  schedule.judges_answers = json.value("judge_answers", schedule.judges_answers);
  schedule.body_bytes = json.value("body_bytes", schedule.body_bytes);
  schedule.destinations = json.value("destinations", schedule.destinations);
  schedule.partner_min_ms = json.value("partner_min_ms", 0.0);
  schedule.partner_max_ms = json.value("partner_max_ms", 0.0);
  schedule.client_path = PathFaultsFromJson(json.value("client_path", Json::object()));
  schedule.partner_path = PathFaultsFromJson(json.value("partner_path", Json::object()));
  schedule.agent_path = PathFaultsFromJson(json.value("agent_path", Json::object()));
  return schedule;
}

}  // namespace

SoakSchedule DrawSchedule(std::uint64_t seed) {
  Draws draws(seed);
  SoakSchedule schedule;
  schedule.seed = seed;
  schedule.nodes = draws.Integer(1, kMaxNodes);
  schedule.clients_per_node = draws.Integer(5, 10);
  const bool has_crowd = draws.Chance(kCrowdRunFraction);
  schedule.crowd.connections = has_crowd ? draws.Integer(100, 200) : 0;
  schedule.descriptor_limit = has_crowd ? kCrowdRunDescriptors : kDefaultDescriptors;
  schedule.call_faults = DrawCallFaults(draws);
  schedule.node_faults = DrawNodeFaults(draws, schedule);
  schedule.partner_faults = DrawPartnerFaults(draws, schedule);
  schedule.client_path = DrawPathFaults(draws, seed, kClientPathFaults);
  schedule.partner_path = DrawPathFaults(draws, seed, kPartnerPathFaults);
  schedule.agent_path = DrawPathFaults(draws, seed, kAgentPathFaults);
  DrawMemoryAndCrowd(draws, schedule);
  return schedule;
}

Json ToJson(const SoakSchedule& schedule) {
  Json node_faults = Json::array();
  for (const NodeFaultEvent& event : schedule.node_faults) {
    node_faults.push_back({{"fault", kNodeFaultNames.at(static_cast<std::size_t>(event.fault))},
                           {"at_ms", event.at_ms},
                           {"node", event.node}});
  }
  Json partner_faults = Json::array();
  for (const PartnerFaultEvent& event : schedule.partner_faults) {
    partner_faults.push_back({{"fault", event.fault},
                              {"at_ms", event.at_ms},
                              {"for_ms", event.for_ms},
                              {"destination", event.destination},
                              {"share", event.share}});
  }
  Json behaviors = Json::array();
  for (const CrowdBehavior behavior : schedule.crowd.behaviors) behaviors.push_back(ToString(behavior));
  return {{"seed", schedule.seed},
          {"seconds", schedule.seconds},
          {"nodes", schedule.nodes},
          {"clients_per_node", schedule.clients_per_node},
          {"body_bytes", schedule.body_bytes},
          {"crowd", schedule.crowd.connections},
          {"crowd_behaviors", behaviors},
          {"cloudevents", schedule.has_cloudevents},
          {"memory_mb", schedule.memory_mb},
          {"judge_answers", schedule.judges_answers},
          {"sockets", schedule.descriptor_limit},
          {"max_pending", schedule.max_pending},
          {"call_faults", schedule.call_faults},
          {"node_faults", node_faults},
          {"partner_faults", partner_faults},
          {"destinations", schedule.destinations},
          {"partner_min_ms", schedule.partner_min_ms},
          {"partner_max_ms", schedule.partner_max_ms},
          {"client_path", ToJson(schedule.client_path)},
          {"partner_path", ToJson(schedule.partner_path)},
          {"agent_path", ToJson(schedule.agent_path)}};
}

SoakSchedule ReadSchedule(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  try {
    return FromJson(Json::parse(file));
  } catch (const Json::parse_error& error) {
    throw std::runtime_error(path + ": " + error.what());
  } catch (const std::runtime_error& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

}  // namespace sagetally::loadtest
