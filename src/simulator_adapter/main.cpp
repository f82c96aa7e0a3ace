// Adapter between the simulator and the dispatch policy: reads a batch of events (one JSON value a line) and
// writes the commands that answer it. It translates and decides nothing. Malformed input ends it with one
// line on standard error and exit code 1. All names on the simulator's wire are in this file.
#include <algorithm>
#include <array>
#include <charconv>
#include <iostream>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/json.h"
#include "config/settings.h"
#include "sagetally/dispatch_policy.h"

namespace {

using sagetally::Action;
using sagetally::Duration;
using sagetally::Event;
using sagetally::json::Find;
using sagetally::json::Get;
using sagetally::json::GetMs;
using sagetally::json::List;
using sagetally::json::Malformed;
using sagetally::json::Quote;
using sagetally::json::Require;
using sagetally::json::Value;

sagetally::Outcome ReadOutcome(const Value body) {
  const int code = Get<int>(body, "code");
  if (code < 0 || code > 7) Malformed("unknown outcome");
  return static_cast<sagetally::Outcome>(code);
}

sagetally::LoadReport ReadLoad(const Value body) {
  Value stats;
  if (!Find(body, "serverStats", stats)) return {};
  return {Get<double>(stats, "x0", 0.0), Get<double>(stats, "x1", 0.0)};
}

sagetally::EndpointRecord::State ReadState(const std::string& mode) {
  using State = sagetally::EndpointRecord::State;
  if (mode == "up") return State::kUp;
  if (mode == "draining") return State::kDraining;
  if (mode == "removed") return State::kRemoved;
  Malformed("unknown mode '" + mode + "'");
}

sagetally::EndpointRecord ReadEndpoint(const Value host) {
  sagetally::EndpointRecord record;
  record.endpoint = Get<std::string>(host, "endpoint");
  record.destination = Get<int>(host, "destination");
  record.zone = Get<int>(host, "az", 0);
  record.kind = Get<int>(host, "machine", 0);
  record.rate = Get<double>(host, "rating", 0.0);
  record.state = ReadState(Get<std::string>(host, "mode"));
  return record;
}

sagetally::MessageAccepted ReadMessage(const Value body) {
  sagetally::MessageAccepted event;
  event.id = Get<std::string>(body, "req");
  event.destination = Get<int>(body, "calledNode", 0);
  event.message_class = Get<int>(body, "category", 0);
  event.tenant = Get<int>(body, "account", 0);
  event.time_left = GetMs(body, "grace");
  event.key = Get<std::string>(body, "targetKey", "");
  return event;
}

sagetally::AttemptCompleted ReadAttempt(const Value body) {
  sagetally::AttemptCompleted event;
  event.id = Get<std::string>(body, "req");
  event.attempt = Get<int>(body, "copy", 0);
  event.outcome = ReadOutcome(body);
  event.message_ended = Get<bool>(body, "finished", false);
  event.latency = GetMs(body, "waitTime", 0.0);
  if (event.outcome == sagetally::Outcome::kRejected) event.retry_after = GetMs(body, "remarkMs", 0.0);
  event.load_report = ReadLoad(body);
  return event;
}

// Returns {"name":{"field":value,...}}. The values are JSON already.
std::string Command(const char* name, std::initializer_list<std::pair<const char*, std::string>> fields) {
  std::string body;
  for (const auto& [field, value] : fields) {
    if (!body.empty()) body += ',';
    body += Quote(field) + ":" + value;
  }
  return "{" + Quote(name) + ":{" + body + "}}";
}

std::string Ms(Duration duration) {
  std::array<char, 32> text;
  const double ms = static_cast<double>(duration.count()) / 1000.0;
  return {text.data(), std::to_chars(text.data(), text.data() + text.size(), ms).ptr};
}

std::string Write(const sagetally::StartAttempt& action) {
  return Command(
      "Forward",
      {{"endpoint", Quote(action.endpoint)}, {"req", Quote(action.id)}, {"within", Ms(action.timeout)}});
}

std::string Write(const sagetally::RejectMessage& action) {
  return Command("TurnAway", {{"req", Quote(action.id)}, {"holdOff", Ms(action.retry_after)}});
}

std::string Write(const sagetally::FailMessage& action) {
  return Command("ReportFailure", {{"req", Quote(action.id)}});
}

std::string Write(const sagetally::CancelAttempt& action) {
  return Command("Revoke", {{"req", Quote(action.id)}, {"copy", std::to_string(action.attempt)}});
}

std::string Write(const sagetally::CancelIfUnsent&) { return ""; }  // what is sent in the simulator has left

std::string Write(const sagetally::StartHealthCheck& action) {
  return Command("Ping", {{"endpoint", Quote(action.endpoint)}});
}

std::string Write(const sagetally::CloseIdleConnections& action) {
  return Command("Close", {{"endpoint", Quote(action.endpoint)}});
}

std::string Write(const sagetally::ScheduleTimer& action) {
  return Command("After", {{"delay", Ms(action.delay)}, {"keyBack", "0"}});
}

std::string Write(const sagetally::SubscribeEndpointList& action) {
  return Command("Track", {{"want", action.enabled ? "true" : "false"}});
}

std::string Write(const sagetally::FetchEndpointList&) { return Command("ReadList", {}); }

std::string Write(const sagetally::SendGossip& action) {
  return Command("Announce", {{"dst", Quote("*")}, {"body", Quote(action.body)}});
}

std::string Write(const sagetally::WriteLogLine& action) {
  return Command("Record", {{"what", Quote(action.line)}});
}

// The commands of one dispatcher, separated by commas.
std::string WriteCommands(const std::vector<Action>& actions) {
  std::string commands;
  for (const Action& action : actions) {
    const std::string command = std::visit([](const auto& typed) { return Write(typed); }, action);
    if (!commands.empty() && !command.empty()) commands += ',';
    commands += command;
  }
  return commands;
}

// The policies of all simulated dispatchers, by the simulator's node id, and the endpoint lists that it has
// sent.
class SimulatorAdapter {
 public:
  // Returns the reply to one batch. Throws std::runtime_error if the batch is malformed.
  std::string Answer(Value batch) {
    const Duration now = GetMs(batch, "moment");
    std::string groups;
    for (const Value group : List(batch, "groups")) {
      const auto node = Get<std::string>(group, "nodeId");
      const std::vector<Action> actions = ProcessGroup(now, node, group);
      if (actions.empty()) continue;
      if (!groups.empty()) groups += ',';
      groups += "{\"nodeId\":" + Quote(node) + ",\"cmds\":[" + WriteCommands(actions) + "]}";
    }
    return "{\"groups\":[" + groups + "]}";
  }

 private:
  // Applies the events of one dispatcher and returns what its policy answers.
  std::vector<Action> ProcessGroup(Duration now, const std::string& node, const Value group) {
    std::vector<Event> events;
    for (const Value tagged : List(group, "happened")) ApplyEvent(node, tagged, events);
    std::vector<Action> actions;
    const auto policy = policies_.find(node);
    if (policy != policies_.end()) policy->second.Process(now, events, actions);
    return actions;
  }

  // Carries out what concerns the simulation itself; appends what is for the policy to `events`.
  void ApplyEvent(const std::string& node, const Value tagged, std::vector<Event>& events) {
    simdjson::dom::object fields;
    if (tagged.get(fields) != simdjson::SUCCESS || fields.size() != 1) {
      Malformed("an event is an object with one key");
    }
    const std::string kind(fields.begin().key());
    const Value body = fields.begin().value();
    if (!body.is_object()) Malformed("the body of '" + kind + "' is no object");
    if (kind == "SnapshotRows") return ReadEndpointList(body);
    if (kind == "Begin") {
      events.clear();
      return StartPolicy(node, body);
    }
    if (!policies_.contains(node)) Malformed("event for instance '" + node + "' that has not begun");
    if (kind == "Retire") {
      events.clear();
      policies_.erase(node);
    } else if (auto event = ReadEvent(kind, body)) {
      events.push_back(std::move(*event));
    }
  }

  void StartPolicy(const std::string& node, const Value body) {
    sagetally::Settings settings = sagetally::ReadSettings(Require(body, "params")).policy;
    const auto seed = Get<std::uint64_t>(body, "seed");
    policies_.insert_or_assign(node, sagetally::DispatchPolicy(std::move(settings), seed));
  }

  void ReadEndpointList(const Value body) {
    std::vector<sagetally::EndpointRecord> records;
    for (const Value host : List(body, "hosts")) records.push_back(ReadEndpoint(host));
    lists_[Get<int>(body, "slot")] = std::move(records);
  }

  // Returns nothing for events that no policy needs.
  std::optional<Event> ReadEvent(const std::string& kind, const Value body) const {
    if (kind == "BackendsChanged") return ReadListUpdate(body);
    if (kind == "Order") return ReadMessage(body);
    if (kind == "Settled") return ReadAttempt(body);
    if (kind == "CheckResult") {
      return sagetally::HealthCheckCompleted{Get<std::string>(body, "endpoint"), ReadOutcome(body),
                                             GetMs(body, "waitTime", 0.0), ReadLoad(body)};
    }
    if (kind == "Abandoned") return sagetally::MessageWithdrawn{Get<std::string>(body, "req")};
    if (kind == "Alarm") return sagetally::TimerFired{};
    if (kind == "Memo") {
      return sagetally::GossipReceived{Get<int>(body, "who"), Get<std::string>(body, "body", "")};
    }
    if (kind == "Streaming") return std::nullopt;  // no class is streamed here
    Malformed("unknown event '" + kind + "'");
  }

  sagetally::EndpointListUpdated ReadListUpdate(const Value body) const {
    using Kind = sagetally::EndpointListUpdated::Kind;
    const auto kind = Get<std::string>(body, "kind");
    if (kind == "FAILED") return {.kind = Kind::kFailed};
    if (kind != "INCREMENTAL" && kind != "FULL" && kind != "SAVED") {
      Malformed("unknown list kind '" + kind + "'");
    }
    const auto list = lists_.find(Get<int>(body, "slot", 0));
    if (list == lists_.end()) Malformed("unknown list number");
    return {.kind = kind == "INCREMENTAL" ? Kind::kDelta : Kind::kFullSnapshot,
            .is_cached = kind == "SAVED",
            .endpoints = list->second};
  }

  std::map<std::string, sagetally::DispatchPolicy> policies_;
  std::map<int, std::vector<sagetally::EndpointRecord>> lists_;  // by the number that events name
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  SimulatorAdapter adapter;
  simdjson::dom::parser parser;
  std::string line;
  while (std::getline(std::cin, line)) {
    try {
      Value batch;
      if (const auto error = parser.parse(line).get(batch)) {
        throw std::runtime_error(std::string("no JSON: ") + simdjson::error_message(error));
      }
      std::cout << adapter.Answer(batch) << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::string text = error.what();
      std::replace(text.begin(), text.end(), '\n', ' ');
      std::cerr << "sagetally-simulator-adapter: " << text << std::endl;
      return 1;
    }
  }
  return 0;
}
