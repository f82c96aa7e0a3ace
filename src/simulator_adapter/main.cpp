// Program that connects the simulator to the dispatch policy. It reads batches of events from standard input,
// one JSON value per line, and writes the commands that answer each batch to standard output, also one line
// per batch. It only translates between JSON and the types of the policy and makes no decisions itself. On
// malformed input it writes one line to standard error and exits with code 1. All names of the simulator's
// protocol are in this file.
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

sagetally::LoadReport ReadLoadReport(const Value body) {
  Value stats;
  if (!Find(body, "serverStats", stats)) return {};
  return {Get<double>(stats, "x0", 0.0), Get<double>(stats, "x1", 0.0)};
}

sagetally::EndpointRecord::State ReadEndpointState(const std::string& mode) {
  using State = sagetally::EndpointRecord::State;
  if (mode == "up") return State::kUp;
  if (mode == "draining") return State::kDraining;
  if (mode == "removed") return State::kRemoved;
  Malformed("unknown mode '" + mode + "'");
}

sagetally::EndpointRecord ReadEndpoint(const Value fields) {
  sagetally::EndpointRecord record;
  record.endpoint = Get<std::string>(fields, "endpoint");
  record.destination = Get<int>(fields, "destination");
  record.zone = Get<int>(fields, "az", 0);
  record.kind = Get<int>(fields, "machine", 0);
  record.rate = Get<double>(fields, "rating", 0.0);
  record.state = ReadEndpointState(Get<std::string>(fields, "mode"));
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
  event.load_report = ReadLoadReport(body);
  return event;
}

// Returns the JSON text {"name":{"field":value,...}}. Each value must already be JSON text.
std::string FormatCommand(const char* name,
                          std::initializer_list<std::pair<const char*, std::string>> fields) {
  std::string body;
  for (const auto& [field, value] : fields) {
    if (!body.empty()) body += ',';
    body += Quote(field) + ":" + value;
  }
  return "{" + Quote(name) + ":{" + body + "}}";
}

// Returns the duration as a decimal number of milliseconds.
std::string FormatMs(Duration duration) {
  std::array<char, 32> text;
  const double ms = static_cast<double>(duration.count()) / 1000.0;
  return {text.data(), std::to_chars(text.data(), text.data() + text.size(), ms).ptr};
}

std::string WriteAction(const sagetally::StartAttempt& action) {
  return FormatCommand("Forward", {{"endpoint", Quote(action.endpoint)},
                                   {"req", Quote(action.id)},
                                   {"within", FormatMs(action.timeout)}});
}

std::string WriteAction(const sagetally::RejectMessage& action) {
  return FormatCommand("TurnAway", {{"req", Quote(action.id)}, {"holdOff", FormatMs(action.retry_after)}});
}

std::string WriteAction(const sagetally::FailMessage& action) {
  return FormatCommand("ReportFailure", {{"req", Quote(action.id)}});
}

std::string WriteAction(const sagetally::CancelAttempt& action) {
  return FormatCommand("Revoke", {{"req", Quote(action.id)}, {"copy", std::to_string(action.attempt)}});
}

// The simulator sends an attempt as soon as it starts, so there is never an unsent attempt to cancel.
std::string WriteAction(const sagetally::CancelIfUnsent&) { return ""; }

std::string WriteAction(const sagetally::StartHealthCheck& action) {
  return FormatCommand("Ping", {{"endpoint", Quote(action.endpoint)}});
}

std::string WriteAction(const sagetally::CloseIdleConnections& action) {
  return FormatCommand("Close", {{"endpoint", Quote(action.endpoint)}});
}

std::string WriteAction(const sagetally::ScheduleTimer& action) {
  return FormatCommand("After", {{"delay", FormatMs(action.delay)}, {"keyBack", "0"}});
}

std::string WriteAction(const sagetally::SubscribeEndpointList& action) {
  return FormatCommand("Track", {{"want", action.enabled ? "true" : "false"}});
}

std::string WriteAction(const sagetally::FetchEndpointList&) { return FormatCommand("ReadList", {}); }

std::string WriteAction(const sagetally::SendGossip& action) {
  return FormatCommand("Announce", {{"dst", Quote("*")}, {"body", Quote(action.body)}});
}

std::string WriteAction(const sagetally::WriteLogLine& action) {
  return FormatCommand("Record", {{"what", Quote(action.line)}});
}

// Returns the commands of one dispatcher as JSON values separated by commas. Actions without a command are
// left out.
std::string WriteCommands(const std::vector<Action>& actions) {
  std::string commands;
  for (const Action& action : actions) {
    const std::string command = std::visit([](const auto& typed) { return WriteAction(typed); }, action);
    if (!commands.empty() && !command.empty()) commands += ',';
    commands += command;
  }
  return commands;
}

// Owns one dispatch policy per simulated dispatcher, by the simulator's node id, and the endpoint lists that
// the simulator has sent. Used by one thread.
class SimulatorAdapter {
 public:
  // Processes one batch and returns the reply. Throws std::runtime_error if the batch is malformed.
  std::string ProcessBatch(Value batch) {
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
  // Applies the events of one dispatcher and returns the actions of its policy, or none if the dispatcher has
  // no policy after these events.
  std::vector<Action> ProcessGroup(Duration now, const std::string& node, const Value group) {
    std::vector<Event> events;
    for (const Value tagged_event : List(group, "happened")) ApplyEvent(node, tagged_event, events);
    std::vector<Action> actions;
    const auto policy = policies_.find(node);
    if (policy != policies_.end()) policy->second.Process(now, events, actions);
    return actions;
  }

  // Handles endpoint lists and the start and stop of a dispatcher here, and appends every other event that
  // the policy needs to `events`. A start or stop discards the dispatcher's earlier events of the same batch.
  void ApplyEvent(const std::string& node, const Value tagged_event, std::vector<Event>& events) {
    simdjson::dom::object fields;
    if (tagged_event.get(fields) != simdjson::SUCCESS || fields.size() != 1) {
      Malformed("an event is an object with one key");
    }
    const std::string kind(fields.begin().key());
    const Value body = fields.begin().value();
    if (!body.is_object()) Malformed("the body of '" + kind + "' is not an object");
    if (kind == "SnapshotRows") return StoreEndpointList(body);
    if (kind == "Begin") {
      events.clear();
      return StartPolicy(node, body);
    }
    if (!policies_.contains(node)) {
      Malformed("event for dispatcher '" + node + "', which has not been started");
    }
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

  void StoreEndpointList(const Value body) {
    std::vector<sagetally::EndpointRecord> records;
    for (const Value fields : List(body, "hosts")) records.push_back(ReadEndpoint(fields));
    endpoint_lists_[Get<int>(body, "slot")] = std::move(records);
  }

  // Returns the event for the policy, or no value if the policy does not need it.
  std::optional<Event> ReadEvent(const std::string& kind, const Value body) const {
    if (kind == "BackendsChanged") return ReadListUpdate(body);
    if (kind == "Order") return ReadMessage(body);
    if (kind == "Settled") return ReadAttempt(body);
    if (kind == "CheckResult") {
      return sagetally::HealthCheckCompleted{Get<std::string>(body, "endpoint"), ReadOutcome(body),
                                             GetMs(body, "waitTime", 0.0), ReadLoadReport(body)};
    }
    if (kind == "Abandoned") return sagetally::MessageWithdrawn{Get<std::string>(body, "req")};
    if (kind == "Alarm") return sagetally::TimerFired{};
    if (kind == "Memo") {
      return sagetally::GossipReceived{Get<int>(body, "who"), Get<std::string>(body, "body", "")};
    }
    if (kind == "Streaming") return std::nullopt;  // no message class is streamed
    Malformed("unknown event '" + kind + "'");
  }

  sagetally::EndpointListUpdated ReadListUpdate(const Value body) const {
    using Kind = sagetally::EndpointListUpdated::Kind;
    const auto kind = Get<std::string>(body, "kind");
    if (kind == "FAILED") return {.kind = Kind::kFailed};
    if (kind != "INCREMENTAL" && kind != "FULL" && kind != "SAVED") {
      Malformed("unknown endpoint list kind '" + kind + "'");
    }
    const auto list = endpoint_lists_.find(Get<int>(body, "slot", 0));
    if (list == endpoint_lists_.end()) Malformed("unknown endpoint list slot");
    return {.kind = kind == "INCREMENTAL" ? Kind::kDelta : Kind::kFullSnapshot,
            .is_cached = kind == "SAVED",
            .endpoints = list->second};
  }

  std::map<std::string, sagetally::DispatchPolicy> policies_;
  std::map<int, std::vector<sagetally::EndpointRecord>> endpoint_lists_;  // by slot number
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
        throw std::runtime_error(std::string("invalid JSON: ") + simdjson::error_message(error));
      }
      std::cout << adapter.ProcessBatch(batch) << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::string text = error.what();
      std::replace(text.begin(), text.end(), '\n', ' ');
      std::cerr << "sagetally-simulator-adapter: " << text << std::endl;
      return 1;
    }
  }
  return 0;
}
