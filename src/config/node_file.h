// The operator's optional file, deploy/node.json, for what stands beside the platform: the CloudEvents front,
// the role of this process, the registry it uses and the messages it keeps. Without the file there is none of
// these. Its form is deploy/schema/node.schema.json, which is compiled in.
#ifndef SAGETALLY_SRC_CONFIG_NODE_FILE_H_
#define SAGETALLY_SRC_CONFIG_NODE_FILE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/schema.h"

namespace sagetally {

enum class Role { kBoth, kForwarder, kPlanner };  // kBoth: one process takes and delivers

struct CloudEventsSettings {
  Address listen;
  std::optional<Address> sink;  // result events go there; absent: they are not told
  std::string sink_path = "/";
};

struct EurekaSettings {
  Address registry;
  std::string path = "/eureka";        // before /apps
  std::string host;                    // this process's address as it registers itself
  std::string planners = "SAGETALLY";  // application name of the planners
  std::string partners = "PARTNERS";   // application whose instances are partner endpoints
  Duration renew = std::chrono::seconds(30);
  Duration fetch = std::chrono::seconds(30);
};

struct DeadLetterSettings {
  std::string folder;      // empty: "kept" in the state folder
  std::string rules_path;  // empty: no rules
  bool include_undeliverable = true, include_deferred = false;
  bool redrive_deferred = false;  // clients do not hand in again what was deferred
  std::size_t budget_bytes = 64'000'000;
  Duration max_age = std::chrono::hours(24 * 30);
  std::size_t max_pending_bytes = 1'000'000;
  double concurrency_fraction = 0.1, pending_fraction = 0.1;  // that resends may take
  double destination_rate = 5;                                // resends a second
  Duration initial_backoff = std::chrono::seconds(2);
  Duration max_backoff = std::chrono::minutes(10);
};

struct JournalFileSettings {  // how hard the journal holds on to what it is given
  bool synced = false;        // every class outlasts the machine's power
  std::vector<std::string> synced_classes;
  Duration group_commit_delay = std::chrono::milliseconds(2);
  bool reserve_disk_space = false;
  std::size_t segment_bytes = 0;  // 0: by the budget
};

struct NodeFile {
  Role role = Role::kBoth;
  std::optional<CloudEventsSettings> cloudevents;
  std::optional<EurekaSettings> eureka;
  std::optional<DeadLetterSettings> dead_letters;
  JournalFileSettings journal;
};

std::vector<SettingName> NodeFileSettingNames();

// Throw std::runtime_error naming the JSON pointer at fault, what was expected and what was found.
NodeFile ParseNodeFile(const std::string& text, const Overrides& overrides = {});
// Names the file too. An absent file is an empty one.
NodeFile ReadNodeFile(const std::string& path, const Overrides& overrides = {});

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_NODE_FILE_H_
