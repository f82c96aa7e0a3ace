// The settings of a journal. src/app derives them from the configuration; the journal does not change them.
// Plain values; sizes are in bytes.
#ifndef SAGETALLY_SRC_JOURNAL_JOURNAL_SETTINGS_H_
#define SAGETALLY_SRC_JOURNAL_JOURNAL_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/message.h"
#include "sagetally/dispatch_policy.h"

namespace sagetally {

// How durable the records of a message must be before anyone may learn of the message's new state.
enum class Durability {
  kWritten,  // the records survive the end of the process
  kSynced    // the records survive a loss of power; responses, calls and notifications wait for the sync
};

struct JournalSettings {
  std::string folder;        // the folder of this journal alone; created if it does not exist
  std::string format1_path;  // the log file of format 1 that is migrated if it exists; empty if there is none
  std::string node_name;
  // Limit of the disk space of all files together. Each file counts as whole blocks.
  std::uint64_t disk_budget = 3'000'000;
  // Size at which a new segment begins. 0 selects a twenty-fourth of the budget, but at least 32 KiB and at
  // most 8 MiB.
  std::uint64_t segment_bytes = 0;
  std::vector<std::string> class_names;        // indexed by class number
  std::map<int, Durability> class_durability;  // by class number, for classes that differ from the default
  Durability default_durability = Durability::kWritten;
  // How long a sync is delayed so that it covers more records.
  Duration group_commit_delay = std::chrono::milliseconds(2);
  // Whether disk blocks are reserved for the further records of accepted messages (see DiskReserve).
  bool reserve_disk_space = false;
  // Seeds, together with the time, the random salt of a new journal.
  std::uint64_t seed = 1;

  // Returns the durability that the class of `message` demands.
  Durability DurabilityOf(const Message& message) const;
  // Returns whether messages of any class are synced.
  bool SyncsAnyClass() const;
  // Returns the size at which a new segment begins. It is at most an eighth of the budget: compaction needs
  // the space of two segments, which has to be small compared with the space for live messages.
  std::uint64_t EffectiveSegmentBytes() const;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_JOURNAL_SETTINGS_H_
