#include "config/node_file.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "config/schema.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

Address At(const Json& part, const char* key, const char* name) {
  return ParseAddress(part.at(key).get<std::string>(), name);
}

Duration Milliseconds(const Json& part, const char* key, Duration otherwise) {
  const double ms = part.value(key, static_cast<double>(otherwise.count()) / 1000.0);
  return sagetally::json::Milliseconds(ms);
}

DeadLetterSettings ReadKept(const Json& part) {
  DeadLetterSettings k;
  k.folder = part.value("folder", k.folder);
  k.rules_path = part.value("rules", k.rules_path);
  if (part.contains("ends")) {
    k.include_undeliverable = k.include_deferred = false;
    for (const Json& end : part["ends"])
      (end == "deferred" ? k.include_deferred : k.include_undeliverable) = true;
  }
  k.redrive_deferred = part.value("resend_deferred", false);
  k.budget_bytes = static_cast<std::size_t>(part.value("budget_mb", 64.0) * 1e6);
  k.max_age = Duration(static_cast<std::int64_t>(part.value("age_hours", 720.0) * 3600e6));
  k.max_pending_bytes = static_cast<std::size_t>(part.value("owed_mb", 1.0) * 1e6);
  k.concurrency_fraction = part.value("slots_share", k.concurrency_fraction);
  k.pending_fraction = part.value("held_share", k.pending_fraction);
  k.destination_rate = part.value("destination_rate", k.destination_rate);
  k.initial_backoff = Milliseconds(part, "backoff_ms", k.initial_backoff);
  k.max_backoff = std::max(k.initial_backoff, Milliseconds(part, "backoff_most_ms", k.max_backoff));
  return k;
}

JournalFileSettings ReadJournal(const Json& part) {
  JournalFileSettings j;
  j.synced = part.value("durability", "written") == "synced";
  j.synced_classes = part.value("synced_classes", j.synced_classes);
  j.group_commit_delay = Milliseconds(part, "group_ms", j.group_commit_delay);
  j.reserve_disk_space = part.value("reserve", false);
  j.segment_bytes = static_cast<std::size_t>(part.value("segment_kb", 0.0) * 1024);
  return j;
}

}  // namespace

std::vector<SettingName> NodeFileSettingNames() { return SettingNames(Json::parse(kNodeSchema)); }

NodeFile ParseNodeFile(const std::string& text, const Overrides& overrides) {
  Json root;
  try {
    root = Json::parse(text);
  } catch (const Json::parse_error& error) {
    throw std::runtime_error(std::string("no JSON: ") + error.what());
  }
  const Json schema = Json::parse(kNodeSchema);
  ApplyOverrides(schema, root, overrides);
  Validate(schema, root);
  NodeFile file;
  const std::string role = root.value("role", "both");
  file.role = role == "both" ? Role::kBoth : role == "planner" ? Role::kPlanner : Role::kForwarder;
  if (root.contains("cloudevents")) {
    const Json& part = root["cloudevents"];
    CloudEventsSettings c;
    c.listen = At(part, "listen", "/cloudevents/listen");
    if (!part.value("sink", "").empty()) c.sink = At(part, "sink", "/cloudevents/sink");
    c.sink_path = part.value("sink_path", c.sink_path);
    file.cloudevents = c;
  }
  if (root.contains("eureka")) {
    const Json& part = root["eureka"];
    EurekaSettings e;
    e.registry = At(part, "registry", "/eureka/registry");
    e.path = part.value("path", e.path);
    e.host = part.value("host", file.cloudevents ? file.cloudevents->listen.host : "");
    e.planners = part.value("planners", e.planners);
    e.partners = part.value("partners", e.partners);
    e.renew = Milliseconds(part, "renew_ms", e.renew);
    e.fetch = Milliseconds(part, "fetch_ms", e.fetch);
    file.eureka = e;
  }
  if (root.contains("kept")) file.dead_letters = ReadKept(root["kept"]);
  if (root.contains("journal")) file.journal = ReadJournal(root["journal"]);
  if (file.role != Role::kBoth && (!file.cloudevents || !file.eureka)) {
    throw std::runtime_error("/role: expected the keys cloudevents and eureka beside the role " + role +
                             ", found only some of them");
  }
  if (file.role == Role::kForwarder && file.dead_letters) {
    throw std::runtime_error("/kept: expected a role that holds messages (both, planner), found forwarder");
  }
  return file;
}

NodeFile ReadNodeFile(const std::string& path, const Overrides& overrides) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file && overrides.empty()) return {};
  try {
    return ParseNodeFile(file ? text.str() : "{}", overrides);
  } catch (const std::exception& error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

}  // namespace sagetally
