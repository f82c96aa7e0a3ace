// Adapter between the bench's wire (one JSON value a line) and sagetally::Sender. It translates and decides
// nothing. Malformed input ends it with one line on standard error and exit code 1.
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
using namespace sagetally::json;

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

class Link {
 public:
  // Answers one batch.
  std::string Answer(Value batch) {
    const Duration now = GetMs(batch, "moment");
    std::string groups;
    for (const Value group : List(batch, "groups")) {
      const auto name = Get<std::string>(group, "nodeId");
      std::vector<Event> events;
      std::vector<Action> actions;
      const auto step = [&] {
        const auto found = senders_.find(name);
        if (found == senders_.end()) {
          if (!events.empty()) Malformed("event for instance '" + name + "' that has not begun");
          return;
        }
        found->second.Process(now, events, actions);
        events.clear();
      };
      for (const Value tagged : List(group, "happened")) {
        simdjson::dom::object fields;
        if (tagged.get(fields) != simdjson::SUCCESS || fields.size() != 1) {
          Malformed("an event is an object with one key");
        }
        const std::string kind(fields.begin().key());
        const Value body = fields.begin().value();
        if (!body.is_object()) Malformed("the body of '" + kind + "' is no object");
        if (kind == "SnapshotRows") {
          ReadRows(body);
        } else if (kind == "Begin") {
          actions.clear();
          events.clear();
          senders_.insert_or_assign(
              name, sagetally::DispatchPolicy(sagetally::ReadSettings(Require(body, "params")).policy,
                                              Get<std::uint64_t>(body, "seed")));
        } else if (senders_.find(name) == senders_.end()) {
          Malformed("event for instance '" + name + "' that has not begun");
        } else if (kind == "Retire") {
          senders_.erase(name);
          events.clear();
          actions.clear();
        } else if (auto event = ReadEvent(kind, body)) {
          events.push_back(std::move(*event));
        }
      }
      step();
      if (actions.empty()) continue;
      std::string cmds;
      for (const Action& action : actions) {
        const std::string cmd = std::visit([](const auto& a) { return Write(a); }, action);
        cmds += (cmds.empty() || cmd.empty() ? "" : ",") + cmd;
      }
      if (!groups.empty()) groups += ',';
      groups += "{\"nodeId\":" + Quote(name) + ",\"cmds\":[" + cmds + "]}";
    }
    return "{\"groups\":[" + groups + "]}";
  }

 private:
  void ReadRows(const Value body) {
    std::vector<sagetally::EndpointRecord> rows;
    for (const Value host : List(body, "hosts")) {
      sagetally::EndpointRecord e;
      e.endpoint = Get<std::string>(host, "endpoint");
      e.destination = Get<int>(host, "destination");
      e.zone = Get<int>(host, "az", 0);
      e.kind = Get<int>(host, "machine", 0);
      e.rate = Get<double>(host, "rating", 0.0);
      const auto mode = Get<std::string>(host, "mode");
      if (mode == "up") {
        e.state = sagetally::EndpointRecord::State::kUp;
      } else if (mode == "draining") {
        e.state = sagetally::EndpointRecord::State::kDraining;
      } else if (mode == "removed") {
        e.state = sagetally::EndpointRecord::State::kRemoved;
      } else {
        Malformed("unknown mode '" + mode + "'");
      }
      rows.push_back(std::move(e));
    }
    lists_[Get<int>(body, "slot")] = std::move(rows);
  }

  std::optional<Event> ReadEvent(const std::string& kind, const Value body) {
    if (kind == "BackendsChanged") {
      sagetally::EndpointListUpdated e;
      const auto what = Get<std::string>(body, "kind");
      if (what == "FAILED") {
        e.kind = sagetally::EndpointListUpdated::Kind::kFailed;
        return e;
      }
      if (what == "INCREMENTAL") {
        e.kind = sagetally::EndpointListUpdated::Kind::kDelta;
      } else if (what == "FULL" || what == "SAVED") {
        e.kind = sagetally::EndpointListUpdated::Kind::kFullSnapshot;
        e.is_cached = what == "SAVED";
      } else {
        Malformed("unknown list kind '" + what + "'");
      }
      const auto list = lists_.find(Get<int>(body, "slot", 0));
      if (list == lists_.end()) Malformed("unknown list number");
      e.endpoints = list->second;
      return e;
    }
    if (kind == "Order") {
      sagetally::MessageAccepted e;
      e.id = Get<std::string>(body, "req");
      e.destination = Get<int>(body, "calledNode", 0);
      e.message_class = Get<int>(body, "category", 0);
      e.tenant = Get<int>(body, "account", 0);
      e.time_left = GetMs(body, "grace");
      e.key = Get<std::string>(body, "targetKey", "");
      return e;
    }
    if (kind == "Settled") {
      sagetally::AttemptCompleted e;
      e.id = Get<std::string>(body, "req");
      e.attempt = Get<int>(body, "copy", 0);
      e.outcome = ReadOutcome(body);
      e.message_ended = Get<bool>(body, "finished", false);
      e.latency = GetMs(body, "waitTime", 0.0);
      if (e.outcome == sagetally::Outcome::kRejected) e.retry_after = GetMs(body, "remarkMs", 0.0);
      e.load_report = ReadLoad(body);
      return e;
    }
    if (kind == "CheckResult") {
      return sagetally::HealthCheckCompleted{Get<std::string>(body, "endpoint"), ReadOutcome(body),
                                             GetMs(body, "waitTime", 0.0), ReadLoad(body)};
    }
    if (kind == "Abandoned") return sagetally::MessageWithdrawn{Get<std::string>(body, "req")};
    if (kind == "Alarm") return sagetally::TimerFired{};
    if (kind == "Memo")
      return sagetally::GossipReceived{Get<int>(body, "who"), Get<std::string>(body, "body", "")};
    if (kind == "Streaming") return std::nullopt;  // no class is streamed here
    Malformed("unknown event '" + kind + "'");
  }

  // {"name":{"field":value,...}}, the values being JSON already.
  static std::string Command(const char* name,
                             std::initializer_list<std::pair<const char*, std::string>> fields) {
    std::string body;
    for (const auto& [field, value] : fields) {
      if (!body.empty()) body += ',';
      body += Quote(field) + ":" + value;
    }
    return "{" + Quote(name) + ":{" + body + "}}";
  }
  static std::string Ms(Duration d) {
    std::array<char, 32> text;
    const double ms = static_cast<double>(d.count()) / 1000.0;
    return {text.data(), std::to_chars(text.data(), text.data() + text.size(), ms).ptr};
  }
  static std::string Write(const sagetally::StartAttempt& a) {
    return Command("Forward",
                   {{"endpoint", Quote(a.endpoint)}, {"req", Quote(a.id)}, {"within", Ms(a.timeout)}});
  }
  static std::string Write(const sagetally::RejectMessage& a) {
    return Command("TurnAway", {{"req", Quote(a.id)}, {"holdOff", Ms(a.retry_after)}});
  }
  static std::string Write(const sagetally::FailMessage& a) {
    return Command("ReportFailure", {{"req", Quote(a.id)}});
  }
  static std::string Write(const sagetally::CancelAttempt& a) {
    return Command("Revoke", {{"req", Quote(a.id)}, {"copy", std::to_string(a.attempt)}});
  }
  static std::string Write(const sagetally::CancelIfUnsent&) { return ""; }  // what is sent there has left
  static std::string Write(const sagetally::StartHealthCheck& a) {
    return Command("Ping", {{"endpoint", Quote(a.endpoint)}});
  }
  static std::string Write(const sagetally::CloseIdleConnections& a) {
    return Command("Close", {{"endpoint", Quote(a.endpoint)}});
  }
  static std::string Write(const sagetally::ScheduleTimer& a) {
    return Command("After", {{"delay", Ms(a.delay)}, {"keyBack", "0"}});
  }
  static std::string Write(const sagetally::SubscribeEndpointList& a) {
    return Command("Track", {{"want", a.enabled ? "true" : "false"}});
  }
  static std::string Write(const sagetally::FetchEndpointList&) { return Command("ReadList", {}); }
  static std::string Write(const sagetally::SendGossip& a) {
    return Command("Announce", {{"dst", Quote("*")}, {"body", Quote(a.body)}});
  }
  static std::string Write(const sagetally::WriteLogLine& a) {
    return Command("Record", {{"what", Quote(a.line)}});
  }

  std::map<std::string, sagetally::DispatchPolicy> senders_;
  std::map<int, std::vector<sagetally::EndpointRecord>> lists_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Link link;
  simdjson::dom::parser parser;
  std::string line;
  while (std::getline(std::cin, line)) {
    try {
      Value batch;
      if (const auto error = parser.parse(line).get(batch)) {
        throw std::runtime_error(std::string("no JSON: ") + simdjson::error_message(error));
      }
      std::cout << link.Answer(batch) << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::string what = error.what();
      for (char& c : what) {
        if (c == '\n') c = ' ';
      }
      std::cerr << "sagetally-simulator-adapter: " << what << std::endl;
      return 1;
    }
  }
  return 0;
}
