#include "loadtest/soak/soak_run.h"

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <set>
#include <stdexcept>
#include <thread>

#include "loadtest/clock.h"
#include "loadtest/demo/demo_config.h"
#include "loadtest/proxy/proxy_thread.h"
#include "loadtest/soak/crowd.h"
#include "loadtest/soak/soak_node.h"
#include "loadtest/stub/stub_server_thread.h"

namespace sagetally::loadtest {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr const char* kWaitNotKeptRule = "wait not kept";  // the checker's name of the rule
// How long the nodes run on after the last submission. It covers the message's deadline of 4 s, the time that
// a restarted node needs to report an undelivered message, and a margin.
constexpr double kDrainSeconds = 8;

// Identifies a call at a partner for the checker: the message by its request id, the dispatcher by the node
// number in that id.
Identity IdentifyBySoakRequestId(const Call& call) {
  Identity identity;
  identity.id = call.Header("X-Request-Id");
  if (const auto id = ParseSoakRequestId(identity.id)) {
    identity.idempotency = id->idempotency;
    identity.dispatcher = fmt::format("n{}", id->node);
  }
  return identity;
}

// Whether no fault can keep a partner's answer from a node.
bool AllAnswersArrive(const SoakSchedule& schedule) {
  return schedule.partner_path.rates.empty() && schedule.call_faults.empty() && schedule.node_faults.empty();
}

// The demonstration's stub servers, without its outage, but with the schedule's partner faults.
StubServerSettings PartnerSettingsOf(const SoakSchedule& schedule) {
  DemoOptions demo;
  demo.seed = schedule.seed;
  demo.outage = false;
  Json json = DemoStubServersJson(demo);
  for (const PartnerFaultEvent& event : schedule.partner_faults) {
    json["timeline"].push_back({{"fault", event.fault},
                                {"at_ms", event.at_ms},
                                {"for_ms", event.for_ms},
                                {"endpoint", fmt::format("partner-{}", event.destination)},
                                {"destination", event.destination},
                                {"share", event.share}});
  }
  if (schedule.partner_max_ms > 0) {
    const Json service = {
        {"kind", "uniform"}, {"from", schedule.partner_min_ms}, {"to", schedule.partner_max_ms}};
    for (Json& partner : json["partners"]) {
      partner = {{"uid", partner["uid"]}, {"destination", partner["destination"]}, {"service_ms", service}};
    }
  }
  StubServerSettings settings = StubServerSettingsFromJson(json);
  settings.identify = IdentifyBySoakRequestId;
  settings.rules.answers_arrive = AllAnswersArrive(schedule);
  if (!schedule.partner_path.rates.empty()) settings.partner_path_faults = schedule.partner_path;
  if (!schedule.agent_path.rates.empty()) settings.agent_path_faults = schedule.agent_path;
  return settings;
}

// Whether a node restarts during the run. A restarted node forgets the waits that partners have announced to
// it, and the checker isn't notified of restarts in a soak run, so its reports of ignored waits don't count
// then.
bool HasRestart(const SoakSchedule& schedule) {
  return std::ranges::any_of(schedule.node_faults, [](const NodeFaultEvent& event) {
    return event.fault == NodeFault::kRestart || event.fault == NodeFault::kKill;
  });
}

// Whether answers of partners are lost or late on their path. The dispatcher can't keep a wait that it has
// not heard of.
bool LosesAnswers(const SoakSchedule& schedule) {
  constexpr std::array kFaults = {PathFault::kResetBeforeAnswer, PathFault::kResetAmidAnswer,
                                  PathFault::kDelayedAnswer, PathFault::kStalledAnswer};
  return std::ranges::any_of(kFaults,
                             [&](PathFault fault) { return schedule.partner_path.rates.contains(fault); });
}

std::string MakeFolder() {
  std::string path = (fs::temp_directory_path() / "sagetally-soak-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error(path + ": can't be created");
  return path;
}

// The nodes of a run and their clients. The clients run on threads of their own, the nodes are driven by the
// caller's thread.
class Fleet {
 public:
  Fleet(const SoakSchedule& schedule, const SoakOptions& options, const StubServerThread& stubs,
        const std::string& folder)
      : schedule_(schedule), options_(options) {
    for (int i = 0; i < schedule.nodes; ++i) {
      nodes_.push_back(std::make_unique<SoakNode>(i, schedule, options, stubs, folder));
    }
    for (const auto& node : nodes_) node->AwaitReady();
  }
  ~Fleet() { StopClients(); }

  // Applies the schedule, then stops clients and nodes.
  void RunSchedule() {
    StartClients();
    const std::int64_t started = NowUs();
    std::size_t next = 0;
    const double duration_ms = schedule_.seconds * 1000;
    for (double now_ms = 0; now_ms < duration_ms && !IsInterrupted();
         now_ms = static_cast<double>(NowUs() - started) / 1000) {
      const auto& events = schedule_.node_faults;
      for (; next < events.size() && events[next].at_ms <= now_ms; ++next) {
        nodes_.at(static_cast<std::size_t>(events[next].node))->Apply(events[next].fault);
      }
      Step();
    }
    StopClients();
    Drain();
  }

  std::vector<RequestRecord> Requests() const {
    std::vector<RequestRecord> all;
    for (const auto& client : clients_) {
      all.insert(all.end(), client->records().begin(), client->records().end());
    }
    return all;
  }
  // What the proxies on the clients' paths have recorded. To be called once, after RunSchedule().
  ProxyRecord StopClientProxies() { return client_proxies_ ? client_proxies_->Stop() : ProxyRecord(); }
  std::vector<DownTime> DownTimes() const {
    std::vector<DownTime> all;
    for (const auto& node : nodes_) {
      all.insert(all.end(), node->down_times().begin(), node->down_times().end());
    }
    return all;
  }
  std::vector<SoakViolation> Violations() const {
    std::vector<SoakViolation> all;
    for (const auto& node : nodes_) {
      all.insert(all.end(), node->violations().begin(), node->violations().end());
    }
    return all;
  }
  // The largest resident memory that a process had.
  std::int64_t PeakMemoryBytes() const {
    std::int64_t peak = 0;
    for (const auto& node : nodes_) peak = std::max(peak, node->peak_memory_bytes());
    return peak;
  }

 private:
  bool IsInterrupted() const { return options_.stop && options_.stop(); }

  void Step() {
    for (const auto& node : nodes_) node->Step();
    std::this_thread::sleep_for(SoakNode::kStepInterval);
  }

  void StartClients() {
    if (!schedule_.client_path.rates.empty()) StartClientProxies();
    for (int i = 0; i < schedule_.nodes; ++i) {
      const auto node = static_cast<std::size_t>(i);
      const auto& port = client_proxies_ ? client_proxies_->port(node) : nodes_[node]->port();
      for (int c = 0; c < schedule_.clients_per_node; ++c) {
        const SoakClient::Messages messages = {schedule_.destinations, schedule_.body_bytes};
        clients_.push_back(std::make_unique<SoakClient>(i, port, schedule_.seed, messages, c));
        threads_.emplace_back([this, client = clients_.back().get()] { client->Run(stop_); });
      }
      StartCrowd(nodes_[node]->port());
      if (schedule_.has_cloudevents) StartCrowd(nodes_[node]->cloudevents_port());
    }
  }

  void StartCrowd(const std::atomic<std::uint16_t>& port) {
    if (schedule_.crowd.connections == 0) return;
    crowds_.push_back(std::make_unique<Crowd>(port, schedule_.crowd, schedule_.seed + crowds_.size()));
    threads_.emplace_back([this, crowd = crowds_.back().get()] { crowd->Run(stop_); });
  }

  void StartClientProxies() {
    std::vector<const std::atomic<std::uint16_t>*> ports;
    for (const auto& node : nodes_) ports.push_back(&node->port());
    client_proxies_ = std::make_unique<ProxyThread>(schedule_.client_path, ports);
  }

  void StopClients() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
    threads_.clear();
  }

  // Runs the nodes for kDrainSeconds more, in which every accepted message must reach its final status, then
  // stops them.
  void Drain() {
    const std::int64_t until = NowUs() + static_cast<std::int64_t>(kDrainSeconds * 1e6);
    while (NowUs() < until && !IsInterrupted()) Step();
    if (!IsInterrupted()) {
      for (const auto& node : nodes_) node->CheckMemoryReturned();
    }
    for (const auto& node : nodes_) node->Stop();
    const std::int64_t stop_until = NowUs() + SoakNode::kTerminationTimeoutUs;
    while (NowUs() < stop_until &&
           std::ranges::any_of(nodes_, [](const auto& node) { return node->Running(); })) {
      std::this_thread::sleep_for(SoakNode::kStepInterval);
    }
  }

  const SoakSchedule& schedule_;
  const SoakOptions& options_;
  std::vector<std::unique_ptr<SoakNode>> nodes_;
  std::unique_ptr<ProxyThread> client_proxies_;  // null if there are no faults on the clients' paths
  std::vector<std::unique_ptr<SoakClient>> clients_;
  std::vector<std::unique_ptr<Crowd>> crowds_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stop_{false};
};

std::int64_t CountLines(const std::string& path) {
  std::ifstream file(path);
  return std::count(std::istreambuf_iterator<char>(file), {}, '\n');
}

// Adds what the proxies have recorded. A call that is written on a connection whose endpoint still has to
// answer an earlier one is a violation: the dispatcher has taken another answer for that one.
void AddPathFaults(const StubServerSet& servers, SoakResult& result) {
  for (const auto& proxy : servers.partner_proxies) {
    result.partner_path.Add(proxy->record());
    for (const std::string& id : proxy->record().requests_before_answer) {
      result.violations.push_back(
          {"call before answer", id, "called on a connection that had not brought an earlier call's answer"});
    }
  }
  if (servers.agent_proxy) result.agent_path.Add(servers.agent_proxy->record());
}

// A copy on a connection of its own may be forwarded although the connection of the request itself was
// aborted before the dispatcher has read it.
void ExcuseRequestsRepeatedElsewhere(SoakResult& result) {
  const std::vector<std::string>& ids = result.client_path.repeated_elsewhere;
  const std::set<std::string> repeated(ids.begin(), ids.end());
  std::erase_if(result.violations, [&](const SoakViolation& violation) {
    return violation.rule == kLostRequestRule && repeated.contains(violation.id);
  });
}

}  // namespace

SoakResult RunSoak(const SoakSchedule& schedule, const SoakOptions& options) {
  if (!schedule.call_faults.empty() && !fs::exists(options.shim)) {
    throw std::runtime_error(options.shim +
                             ": no such fault shim; build the tests, or pass its path with --shim");
  }
  SoakResult result;
  result.folder = MakeFolder();
  std::ofstream(result.folder + "/schedule.json") << ToJson(schedule).dump(1);
  StubServerThread stubs(PartnerSettingsOf(schedule));
  Fleet fleet(schedule, options, stubs, result.folder);
  fleet.RunSchedule();
  const std::vector<RequestRecord> requests = fleet.Requests();
  result.requests = static_cast<std::int64_t>(requests.size());
  result.answered = std::ranges::count(requests, RequestOutcome::kAnswered, &RequestRecord::outcome);
  result.violations = FindViolations(requests, stubs.Observations(), fleet.DownTimes());
  for (const SoakViolation& node_violation : fleet.Violations()) result.violations.push_back(node_violation);
  if (schedule.judges_answers) {
    for (const SoakViolation& violation : FindUnansweredClients(requests)) {
      result.violations.push_back(violation);
    }
  }
  result.peak_memory_bytes = fleet.PeakMemoryBytes();
  result.client_path = fleet.StopClientProxies();
  const StubServerSet& servers = stubs.Stop();
  for (const Violation& violation : servers.checker.violations()) {
    if (violation.rule == kWaitNotKeptRule && (HasRestart(schedule) || LosesAnswers(schedule))) continue;
    result.violations.push_back({violation.rule, violation.id, violation.detail});
  }
  AddPathFaults(servers, result);
  ExcuseRequestsRepeatedElsewhere(result);
  for (const std::string& id : result.client_path.answers_without_request) {
    result.violations.push_back({"answer without request", id, "the client had an answer to every request"});
  }
  result.injected_faults = CountLines(result.folder + "/faults.log");
  if (result.violations.empty()) fs::remove_all(result.folder);
  return result;
}

}  // namespace sagetally::loadtest
