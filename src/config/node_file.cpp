#include "config/node_file.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/format_error.h"
#include "config/json.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBytesPerKibibyte = 1024;
constexpr double kMicrosecondsPerHour = 3600e6;
constexpr double kMicrosecondsPerMillisecond = 1000.0;

Address ReadAddress(const Json& section, const char* key, const char* pointer) {
  return ParseAddress(section.at(key).get<std::string>(), pointer);
}

Duration ReadMilliseconds(const Json& section, const char* key, Duration default_value) {
  const double default_milliseconds =
      static_cast<double>(default_value.count()) / kMicrosecondsPerMillisecond;
  return json::Milliseconds(section.value(key, default_milliseconds));
}

std::size_t ReadBytes(const Json& section, const char* key, double default_value, double unit) {
  return static_cast<std::size_t>(section.value(key, default_value) * unit);
}

Role ParseRole(const std::string& word) {
  if (word == "both") return Role::kBoth;
  return word == "planner" ? Role::kPlanner : Role::kForwarder;
}

CloudEventsSettings ReadCloudEvents(const Json& section) {
  CloudEventsSettings settings;
  settings.listen = ReadAddress(section, "listen", "/cloudevents/listen");
  if (!section.value("sink", "").empty()) {
    settings.sink = ReadAddress(section, "sink", "/cloudevents/sink");
  }
  settings.sink_path = section.value("sink_path", settings.sink_path);
  return settings;
}

EurekaSettings ReadEureka(const Json& section, const std::string& default_host) {
  EurekaSettings settings;
  settings.registry = ReadAddress(section, "registry", "/eureka/registry");
  settings.path = section.value("path", settings.path);
  settings.host = section.value("host", default_host);
  settings.planners = section.value("planners", settings.planners);
  settings.partners = section.value("partners", settings.partners);
  settings.renew_interval = ReadMilliseconds(section, "renew_ms", settings.renew_interval);
  settings.fetch_interval = ReadMilliseconds(section, "fetch_ms", settings.fetch_interval);
  return settings;
}

DeadLetterSettings ReadDeadLetters(const Json& section) {
  DeadLetterSettings settings;
  settings.folder = section.value("folder", settings.folder);
  settings.rules_path = section.value("rules", settings.rules_path);
  if (section.contains("ends")) {
    settings.include_undeliverable = false;
    settings.include_deferred = false;
    for (const Json& status : section["ends"]) {
      if (status == "deferred") {
        settings.include_deferred = true;
      } else {
        settings.include_undeliverable = true;
      }
    }
  }
  settings.redrive_deferred = section.value("resend_deferred", false);
  settings.budget_bytes = ReadBytes(section, "budget_mb", 64.0, kBytesPerMegabyte);
  settings.max_age =
      Duration(static_cast<std::int64_t>(section.value("age_hours", 720.0) * kMicrosecondsPerHour));
  settings.max_pending_bytes = ReadBytes(section, "owed_mb", 1.0, kBytesPerMegabyte);
  settings.concurrency_fraction = section.value("slots_share", settings.concurrency_fraction);
  settings.pending_fraction = section.value("held_share", settings.pending_fraction);
  settings.destination_rate = section.value("destination_rate", settings.destination_rate);
  settings.initial_backoff = ReadMilliseconds(section, "backoff_ms", settings.initial_backoff);
  const Duration max_backoff = ReadMilliseconds(section, "backoff_most_ms", settings.max_backoff);
  settings.max_backoff = std::max(settings.initial_backoff, max_backoff);
  return settings;
}

JournalFileSettings ReadJournal(const Json& section) {
  JournalFileSettings settings;
  settings.synced = section.value("durability", "written") == "synced";
  settings.synced_classes = section.value("synced_classes", settings.synced_classes);
  settings.group_commit_delay = ReadMilliseconds(section, "group_ms", settings.group_commit_delay);
  settings.reserve_disk_space = section.value("reserve", false);
  settings.segment_bytes = ReadBytes(section, "segment_kb", 0.0, kBytesPerKibibyte);
  return settings;
}

// Checks the rules that the schema can't express: which sections a role requires and which it can't have.
void CheckRole(const NodeFile& file, const std::string& role) {
  if (file.role != Role::kBoth && (!file.cloudevents || !file.eureka)) {
    throw FormatError::Unexpected(
        {"/role", "both keys cloudevents and eureka with the role " + role, "at least one of them missing"});
  }
  if (file.role == Role::kForwarder && file.dead_letters) {
    throw FormatError::Unexpected({"/kept", "a role that stores messages (both, planner)", "forwarder"});
  }
}

Json ParseJson(const std::string& text) {
  try {
    return Json::parse(text);
  } catch (const Json::parse_error& error) {
    throw FormatError(std::string("invalid JSON: ") + error.what(), {"", "JSON", ""});
  }
}

}  // namespace

std::vector<SettingName> NodeFileSettingNames() { return SettingNames(Json::parse(kNodeSchema)); }

NodeFile ParseNodeFile(const std::string& text, const Overrides& overrides) {
  Json root = ParseJson(text);
  const Json schema = Json::parse(kNodeSchema);
  ApplyOverrides(schema, root, overrides);
  ValidateAgainstSchema(schema, root);
  NodeFile file;
  const std::string role = root.value("role", "both");
  file.role = ParseRole(role);
  if (root.contains("cloudevents")) file.cloudevents = ReadCloudEvents(root["cloudevents"]);
  if (root.contains("eureka")) {
    file.eureka = ReadEureka(root["eureka"], file.cloudevents ? file.cloudevents->listen.host : "");
  }
  if (root.contains("kept")) file.dead_letters = ReadDeadLetters(root["kept"]);
  if (root.contains("journal")) file.journal = ReadJournal(root["journal"]);
  CheckRole(file, role);
  return file;
}

NodeFile ReadNodeFile(const std::string& path, const Overrides& overrides) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file && overrides.empty()) return {};
  try {
    return ParseNodeFile(file ? text.str() : "{}", overrides);
  } catch (const FormatError& error) {
    throw ConfigError(path + ": " + error.what(), path, error.fault());
  } catch (const std::exception& error) {  // for example an override inside a value that is not an object
    throw ConfigError(path + ": " + error.what(), path);
  }
}

}  // namespace sagetally
