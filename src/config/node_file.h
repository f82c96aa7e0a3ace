// The operator's optional file, deploy/node.json, with the settings that the platform's configuration lacks:
// the CloudEvents frontend, the role of this process, its service registry, dead letters and the durability
// of the journal. Its schema is deploy/schema/node.schema.json, which is compiled into the program. The file
// is read once, at the start, on the main thread.
#ifndef SAGETALLY_SRC_CONFIG_NODE_FILE_H_
#define SAGETALLY_SRC_CONFIG_NODE_FILE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/schema.h"

namespace sagetally {

// The role of a process. A planner accepts messages, a forwarder delivers them, and kBoth does both.
enum class Role { kBoth, kForwarder, kPlanner };

// The CloudEvents frontend.
struct CloudEventsSettings {
  Address listen;
  std::optional<Address> sink;  // address for result events; no value: none are sent
  std::string sink_path = "/";
};

// The Eureka service registry.
struct EurekaSettings {
  Address registry;
  std::string path = "/eureka";        // path prefix before /apps
  std::string host;                    // host under which this process registers itself
  std::string planners = "SAGETALLY";  // application name of the planners
  std::string partners = "PARTNERS";   // application whose instances are partner endpoints
  Duration renew_interval = std::chrono::seconds(30);
  Duration fetch_interval = std::chrono::seconds(30);
};

// Dead letters and their redrive.
struct DeadLetterSettings {
  std::string folder;                 // empty: the default folder in the state folder
  std::string rules_path;             // empty: no rules
  bool include_undeliverable = true;  // messages that failed
  bool include_deferred = false;      // messages that were rejected with a retry time for the client
  bool redrive_deferred = false;      // set if clients never resubmit deferred messages, so redrive is safe
  std::size_t budget_bytes = 64'000'000;           // maximum size of the store
  Duration max_age = std::chrono::hours(24 * 30);  // an older dead letter is evicted
  std::size_t max_pending_bytes = 1'000'000;       // limit for messages that are not in the store yet
  double concurrency_fraction = 0.1;               // fraction of the concurrent calls that redrives may use
  double pending_fraction = 0.1;                   // fraction of the pending messages that may be redrives
  double destination_rate = 5;                     // redriven messages per second and destination
  Duration initial_backoff = std::chrono::seconds(2);
  Duration max_backoff = std::chrono::minutes(10);
};

// Durability and layout of the journal.
struct JournalFileSettings {
  bool synced = false;                      // whether messages of every class survive a loss of power
  std::vector<std::string> synced_classes;  // classes whose messages do, if `synced` is false
  Duration group_commit_delay = std::chrono::milliseconds(2);
  bool reserve_disk_space = false;
  std::size_t segment_bytes = 0;  // 0: derived from the disk limit
};

// The contents of the file. The default values apply if there is no file.
struct NodeFile {
  Role role = Role::kBoth;
  std::optional<CloudEventsSettings> cloudevents;
  std::optional<EurekaSettings> eureka;
  std::optional<DeadLetterSettings> dead_letters;
  JournalFileSettings journal;
};

// Returns all settings of the file, for the flags and environment variables that override them.
std::vector<SettingName> NodeFileSettingNames();

// Parses the text of a file and applies `overrides`. Throws FormatError with the JSON pointer at fault, the
// expected value and the value that was found.
NodeFile ParseNodeFile(const std::string& text, const Overrides& overrides = {});
// Reads the file at `path` and applies `overrides`. A missing file is treated as an empty one. Throws
// ConfigError, which also names the file.
NodeFile ReadNodeFile(const std::string& path, const Overrides& overrides = {});

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_NODE_FILE_H_
