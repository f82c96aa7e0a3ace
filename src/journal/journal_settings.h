// Settings of the journal, as the configuration gives them.
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

enum class Durability {
  kWritten,  // survives the end of the process
  kSynced    // survives a loss of power: answers, calls and notifications wait for it
};

struct JournalSettings {
  std::string folder;        // the journal's own; made if it isn't there
  std::string format1_path;  // a log of format 1 to take over; need not exist
  std::string node_name;
  std::uint64_t disk_budget = 3'000'000;       // bytes of all its files, each counted in whole blocks
  std::uint64_t segment_bytes = 0;             // 0: a twenty-fourth of the budget, from 32 KiB to 8 MiB
  std::vector<std::string> class_names;        // by class number
  std::map<int, Durability> class_durability;  // of classes that differ from the default
  Durability default_durability = Durability::kWritten;
  // How long a sync waits for more records to sync with.
  Duration group_commit_delay = std::chrono::milliseconds(2);
  // Holds blocks of the disk for the further records of accepted messages.
  bool reserve_disk_space = false;
  std::uint64_t seed = 1;

  Durability DurabilityOf(const Message& message) const;
  // Whether messages of any class are synced.
  bool SyncsAnyClass() const;
  // The size of a segment, at most an eighth of the budget, so that the space of two segments that is left
  // for compaction is small beside that for live messages.
  std::uint64_t EffectiveSegmentBytes() const;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_JOURNAL_SETTINGS_H_
