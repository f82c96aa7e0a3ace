// The operator's optional file, deploy/node.json, for what the platform's configuration doesn't have: the
// CloudEvents frontend, the role of this process, its service registry, dead letters and the journal's
// durability. Its form is deploy/schema/node.schema.json, which is compiled in. Read once, at the start, on
// the main thread.
#ifndef SAGETALLY_SRC_CONFIG_NODE_FILE_H_
#define SAGETALLY_SRC_CONFIG_NODE_FILE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/schema.h"

namespace sagetally {

// What a process does. kBoth: it accepts messages and delivers them.
enum class Role { kBoth, kForwarder, kPlanner };

// The CloudEvents frontend.
struct CloudEventsSettings {
  Address listen;
  std::optional<Address> sink;  // of result events; absent: none are sent
  std::string sink_path = "/";
};

// The Eureka service registry.
struct EurekaSettings {
  Address registry;
  std::string path = "/eureka";        // before /apps
  std::string host;                    // this process's address as it registers itself
  std::string planners = "SAGETALLY";  // application name of the planners
  std::string partners = "PARTNERS";   // application whose instances are partner endpoints
  Duration renew_interval = std::chrono::seconds(30);
  Duration fetch_interval = std::chrono::seconds(30);
};

// Dead letters and their redrive.
struct DeadLetterSettings {
  std::string folder;                 // empty: the default one in the state folder
  std::string rules_path;             // empty: no rules
  bool include_undeliverable = true;  // messages that failed
  bool include_deferred = false;      // messages that were rejected with a time to come again
  bool redrive_deferred = false;      // clients do not submit again what was deferred
  std::size_t budget_bytes = 64'000'000;
  Duration max_age = std::chrono::hours(24 * 30);
  std::size_t max_pending_bytes = 1'000'000;  // of messages that are not in the store yet
  double concurrency_fraction = 0.1;          // of the concurrent calls, for redriven messages
  double pending_fraction = 0.1;              // of the pending messages, for redriven messages
  double destination_rate = 5;                // redriven messages a second for each destination
  Duration initial_backoff = std::chrono::seconds(2);
  Duration max_backoff = std::chrono::minutes(10);
};

// How durable the journal is.
struct JournalFileSettings {
  bool synced = false;                      // every class survives a loss of power
  std::vector<std::string> synced_classes;  // classes that do, if not all
  Duration group_commit_delay = std::chrono::milliseconds(2);
  bool reserve_disk_space = false;
  std::size_t segment_bytes = 0;  // 0: chosen from the disk limit
};

// The whole file. The defaults are those of an absent file.
struct NodeFile {
  Role role = Role::kBoth;
  std::optional<CloudEventsSettings> cloudevents;
  std::optional<EurekaSettings> eureka;
  std::optional<DeadLetterSettings> dead_letters;
  JournalFileSettings journal;
};

// Returns all settings of the file, for flags and variables that override them.
std::vector<SettingName> NodeFileSettingNames();

// Parses the text of a file. Throws FormatError with the JSON pointer at fault, what was expected and what
// was found.
NodeFile ParseNodeFile(const std::string& text, const Overrides& overrides = {});
// Reads a file; an absent one reads as an empty one. Throws ConfigError that names the file too.
NodeFile ReadNodeFile(const std::string& path, const Overrides& overrides = {});

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_NODE_FILE_H_
