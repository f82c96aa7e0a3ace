// Adapter between the bench's wire (one JSON value a line) and sagetally::Sender. It translates and decides
// nothing. Malformed input ends it with one line on standard error and exit code 1.
#include <cmath>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "sagetally/sender.h"

namespace {

using sagetally::Action;
using sagetally::Duration;
using sagetally::Event;
using Json = nlohmann::json;

[[noreturn]] void Malformed(const std::string& what) { throw std::runtime_error(what); }

const Json& Need(const Json& object, const char* name) {
  if (!object.is_object()) Malformed(std::string("no object around '") + name + "'");
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) Malformed(std::string("missing field '") + name + "'");
  return *found;
}

template <typename T>
T As(const Json& value, const char* name) {
  bool fits = false;
  if constexpr (std::is_same_v<T, bool>) {
    fits = value.is_boolean();
  } else if constexpr (std::is_same_v<T, std::string>) {
    fits = value.is_string();
  } else if constexpr (std::is_floating_point_v<T>) {
    fits = value.is_number() && std::isfinite(value.get<double>());
  } else {
    fits = value.is_number_integer() || (value.is_number() && std::trunc(value.get<double>()) == value);
    if (fits && !value.is_number_unsigned()) {
      fits = std::abs(value.get<double>()) <= 9e15;
    }
  }
  if (!fits) Malformed(std::string("wrong type of '") + name + "'");
  return value.get<T>();
}

template <typename T>
T Get(const Json& object, const char* name) {
  return As<T>(Need(object, name), name);
}

template <typename T>
T Get(const Json& object, const char* name, T otherwise) {
  if (!object.is_object()) Malformed(std::string("no object around '") + name + "'");
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) return otherwise;
  return As<T>(*found, name);
}

Duration Milliseconds(double ms) {
  if (std::abs(ms) > 1e12) Malformed("time out of range");
  return Duration(std::llround(ms * 1000.0));
}

template <typename... Otherwise>
Duration GetMs(const Json& object, const char* name, Otherwise... otherwise) {
  return Milliseconds(Get<double>(object, name, otherwise...));
}

const Json& Part(const Json& params, const char* name) {
  static const Json kEmpty = Json::object();
  const auto found = params.find(name);
  if (found == params.end() || found->is_null()) return kEmpty;
  if (!found->is_object()) Malformed(std::string("wrong type of '") + name + "'");
  return *found;
}

const Json& List(const Json& object, const char* name) {
  const Json& value = Need(object, name);
  if (!value.is_array()) Malformed(std::string("wrong type of '") + name + "'");
  return value;
}

sagetally::Settings ReadSettings(const Json& params) {
  sagetally::Settings s;
  for (const Json& grade : List(params, "grades")) {
    sagetally::ClassSettings c;
    c.aim = GetMs(grade, "slo");
    c.deadline = GetMs(grade, "deadline");
    c.worth = Get<double>(grade, "credit", 1.0);
    c.late_share = Get<double>(grade, "lateShare", 0.0);
    const auto effect = Get<std::string>(grade, "idempotency");
    if (effect == "pure") {
      c.effect = sagetally::Effect::kSafe;
    } else if (effect == "token") {
      c.effect = sagetally::Effect::kKeyed;
    } else if (effect == "side_effect") {
      c.effect = sagetally::Effect::kUnsafe;
    } else {
      Malformed("unknown idempotency '" + effect + "'");
    }
    const auto group = Get<std::string>(grade, "group", "all");
    c.key_scope = group == "all"    ? sagetally::KeyScope::kAll
                  : group == "zone" ? sagetally::KeyScope::kZone
                                    : sagetally::KeyScope::kEndpoint;
    c.repeat_window = GetMs(grade, "repeatWindow", 0.0);
    c.in_order = Get<bool>(grade, "inOrder", false);
    s.classes.push_back(c);
  }
  const Json& specifics = Part(params, "specifics");
  const std::size_t kinds = params.contains("flavors") ? List(params, "flavors").size() : 1;
  s.kinds.resize(kinds == 0 ? 1 : kinds);
  for (std::size_t k = 0; k < s.kinds.size(); ++k) {
    if (specifics.contains("kindApart") && k < List(specifics, "kindApart").size()) {
      s.kinds[k].routes_apart = As<bool>(specifics["kindApart"][k], "kindApart");
    }
    if (specifics.contains("bundleMax") && k < List(specifics, "bundleMax").size()) {
      s.kinds[k].batch_max = As<int>(specifics["bundleMax"][k], "bundleMax");
    }
  }
  if (specifics.contains("feeByZone")) {
    for (const Json& fee : List(specifics, "feeByZone")) s.zone_fee.push_back(As<double>(fee, "feeByZone"));
  }
  const Json& caps = Part(params, "caps");
  const Json& rules = Part(params, "rules");
  const Json& penalties = Part(params, "penalties");
  s.senders = Get<int>(params, "balancers", 1);
  s.ordinal = Get<int>(params, "ordinal", 0);
  s.zone = Get<int>(params, "zone", 0);
  s.slots = Get<int>(specifics, "callsOut");
  s.most_held = Get<int>(caps, "mostHeld");
  s.max_attempts = Get<int>(caps, "maxAttempts");
  s.multiplex = Get<int>(caps, "multiplex", 1);
  s.may_probe = Get<bool>(caps, "probes", false);
  s.may_tell_wait = Get<bool>(caps, "retryAfter", false);
  const auto weights = Get<std::string>(params, "weightKind", "nominal");
  s.rates = weights == "silent"  ? sagetally::Rates::kUntold
            : weights == "rough" ? sagetally::Rates::kRough
                                 : sagetally::Rates::kNominal;
  s.over_share_worth = Get<double>(params, "overShareWorth", 1.0);
  if (params.contains("tenants")) {
    for (const Json& tenant : List(params, "tenants")) {
      s.tenants.push_back({Get<double>(tenant, "portion", 0.0), Get<double>(tenant, "allowancePerS", 0.0)});
    }
  }
  s.second_copies = Get<bool>(caps, "secondCopies", false);
  s.refused_price = Get<double>(specifics, "refusalCost", 0.0);
  s.late = Get<std::string>(specifics, "late", "linear") == "halving" ? sagetally::LateWorth::kHalving
                                                                      : sagetally::LateWorth::kLinear;
  s.list_on_request = Get<std::string>(params, "discovery", "automatic") == "subscribe";
  s.most_client_wait = GetMs(caps, "maxRetryAfter", 0.0);
  s.connection_idle = GetMs(caps, "connIdle", 0.0);
  s.handshake_price = Get<double>(penalties, "handshake", 0.0);
  s.cross_zone_price = Get<double>(penalties, "crossZone", 0.0);
  s.answer_slack = GetMs(rules, "answerSlack", 0.0);
  s.ask_every = GetMs(rules, "askEvery", 0.0);
  s.cold_share = Get<double>(rules, "coldShare", 1.0);
  s.fall_multiple = Get<double>(rules, "fallMultiple", 1.0);
  s.tip_after = GetMs(rules, "tipAfter", 0.0);
  s.warm_within = GetMs(rules, "warmWithin", 0.0);
  s.key_quiet = GetMs(rules, "keyQuiet", 0.0);
  return s;
}

sagetally::Outcome ReadOutcome(const Json& body) {
  const int code = Get<int>(body, "code");
  if (code < 0 || code > 7) Malformed("unknown outcome");
  return static_cast<sagetally::Outcome>(code);
}

sagetally::LoadReport ReadLoad(const Json& body) {
  const Json& stats = Part(body, "serverStats");
  return {Get<double>(stats, "x0", 0.0), Get<double>(stats, "x1", 0.0)};
}

class Link {
 public:
  // Answers one batch.
  Json Answer(const Json& batch) {
    const Duration now = GetMs(batch, "moment");
    Json groups = Json::array();
    for (const Json& group : List(batch, "groups")) {
      const auto name = Get<std::string>(group, "nodeId");
      std::vector<Event> events;
      std::vector<Action> actions;
      const auto step = [&] {
        const auto found = senders_.find(name);
        if (found == senders_.end()) {
          if (!events.empty()) Malformed("event for instance '" + name + "' that has not begun");
          return;
        }
        found->second.Step(now, events, actions);
        events.clear();
      };
      for (const Json& tagged : List(group, "happened")) {
        if (!tagged.is_object() || tagged.size() != 1) Malformed("an event is an object with one key");
        const std::string& kind = tagged.begin().key();
        const Json& body = tagged.begin().value();
        if (!body.is_object()) Malformed("the body of '" + kind + "' is no object");
        if (kind == "SnapshotRows") {
          ReadRows(body);
        } else if (kind == "Begin") {
          actions.clear();
          events.clear();
          senders_.insert_or_assign(
              name, sagetally::Sender(ReadSettings(Need(body, "params")), Get<std::uint64_t>(body, "seed")));
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
      Json cmds = Json::array();
      for (const Action& action : actions) {
        cmds.push_back(std::visit([](const auto& a) { return Write(a); }, action));
      }
      groups.push_back({{"nodeId", name}, {"cmds", std::move(cmds)}});
    }
    return {{"groups", std::move(groups)}};
  }

 private:
  void ReadRows(const Json& body) {
    std::vector<sagetally::EndpointEntry> rows;
    for (const Json& host : List(body, "hosts")) {
      sagetally::EndpointEntry e;
      e.endpoint = Get<std::string>(host, "endpoint");
      e.destination = Get<int>(host, "destination");
      e.zone = Get<int>(host, "az", 0);
      e.kind = Get<int>(host, "machine", 0);
      e.rate = Get<double>(host, "rating", 0.0);
      const auto mode = Get<std::string>(host, "mode");
      if (mode == "up") {
        e.state = sagetally::EndpointEntry::State::kUp;
      } else if (mode == "draining") {
        e.state = sagetally::EndpointEntry::State::kDraining;
      } else if (mode == "removed") {
        e.state = sagetally::EndpointEntry::State::kRemoved;
      } else {
        Malformed("unknown mode '" + mode + "'");
      }
      rows.push_back(std::move(e));
    }
    lists_[Get<int>(body, "slot")] = std::move(rows);
  }

  std::optional<Event> ReadEvent(const std::string& kind, const Json& body) {
    if (kind == "BackendsChanged") {
      sagetally::ListChanged e;
      const auto what = Get<std::string>(body, "kind");
      if (what == "FAILED") {
        e.kind = sagetally::ListChanged::Kind::kFailed;
        return e;
      }
      if (what == "INCREMENTAL") {
        e.kind = sagetally::ListChanged::Kind::kChanges;
      } else if (what == "FULL" || what == "SAVED") {
        e.kind = sagetally::ListChanged::Kind::kWhole;
        e.saved = what == "SAVED";
      } else {
        Malformed("unknown list kind '" + what + "'");
      }
      const auto list = lists_.find(Get<int>(body, "slot", 0));
      if (list == lists_.end()) Malformed("unknown list number");
      e.entries = list->second;
      return e;
    }
    if (kind == "Order") {
      sagetally::MessageTaken e;
      e.id = Get<std::string>(body, "req");
      e.destination = Get<int>(body, "calledNode", 0);
      e.message_class = Get<int>(body, "category", 0);
      e.tenant = Get<int>(body, "account", 0);
      e.time_left = GetMs(body, "grace");
      e.key = Get<std::string>(body, "targetKey", "");
      return e;
    }
    if (kind == "Settled") {
      sagetally::AttemptEnded e;
      e.id = Get<std::string>(body, "req");
      e.attempt = Get<int>(body, "copy", 0);
      e.outcome = ReadOutcome(body);
      e.finished = Get<bool>(body, "finished", false);
      e.took = GetMs(body, "waitTime", 0.0);
      if (e.outcome == sagetally::Outcome::kFull) e.told_wait = GetMs(body, "remarkMs", 0.0);
      e.load = ReadLoad(body);
      return e;
    }
    if (kind == "CheckResult") {
      return sagetally::ProbeEnded{Get<std::string>(body, "endpoint"), ReadOutcome(body),
                                   GetMs(body, "waitTime", 0.0), ReadLoad(body)};
    }
    if (kind == "Abandoned") return sagetally::Withdrawn{Get<std::string>(body, "req")};
    if (kind == "Alarm") return sagetally::WakeDue{};
    if (kind == "Memo") return sagetally::PeerNote{Get<int>(body, "who"), Get<std::string>(body, "body", "")};
    if (kind == "Streaming") return std::nullopt;  // no class is streamed here
    Malformed("unknown event '" + kind + "'");
  }

  static double Ms(Duration d) { return static_cast<double>(d.count()) / 1000.0; }
  static Json Write(const sagetally::Send& a) {
    return {{"Forward", {{"req", a.id}, {"endpoint", a.endpoint}, {"within", Ms(a.time_out)}}}};
  }
  static Json Write(const sagetally::Refuse& a) {
    return {{"TurnAway", {{"req", a.id}, {"holdOff", Ms(a.come_back_after)}}}};
  }
  static Json Write(const sagetally::Fail& a) { return {{"ReportFailure", {{"req", a.id}}}}; }
  static Json Write(const sagetally::Cancel& a) { return {{"Revoke", {{"req", a.id}, {"copy", a.attempt}}}}; }
  static Json Write(const sagetally::Probe& a) { return {{"Ping", {{"endpoint", a.endpoint}}}}; }
  static Json Write(const sagetally::CloseIdle& a) { return {{"Close", {{"endpoint", a.endpoint}}}}; }
  static Json Write(const sagetally::Wake& a) {
    return {{"After", {{"delay", Ms(a.after)}, {"keyBack", 0}}}};
  }
  static Json Write(const sagetally::Track& a) { return {{"Track", {{"want", a.on}}}}; }
  static Json Write(const sagetally::FetchList&) { return {{"ReadList", Json::object()}}; }
  static Json Write(const sagetally::TellPeers& a) {
    return {{"Announce", {{"dst", "*"}, {"body", a.body}}}};
  }
  static Json Write(const sagetally::Log& a) { return {{"Record", {{"what", a.line}}}}; }

  std::map<std::string, sagetally::Sender> senders_;
  std::map<int, std::vector<sagetally::EndpointEntry>> lists_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Link link;
  std::string line;
  while (std::getline(std::cin, line)) {
    try {
      const std::string reply = link.Answer(Json::parse(line)).dump();
      std::cout << reply << '\n' << std::flush;
    } catch (const std::exception& error) {
      std::string what = error.what();
      for (char& c : what) {
        if (c == '\n') c = ' ';
      }
      std::cerr << "sagetally_benchlink: " << what << std::endl;
      return 1;
    }
  }
  return 0;
}
