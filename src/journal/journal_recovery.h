// Reads a journal's folder into the message table when a process opens it, and tidies the folder: files that
// the manifest doesn't name go, bytes that can't be read are set aside in quarantine files.
#ifndef SAGETALLY_SRC_JOURNAL_JOURNAL_RECOVERY_H_
#define SAGETALLY_SRC_JOURNAL_JOURNAL_RECOVERY_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/message_table.h"
#include "journal/file_system/file_system.h"
#include "journal/journal_settings.h"
#include "journal/record_applier.h"
#include "journal/replay.h"
#include "logging/logger.h"

namespace sagetally {

struct RecoveredJournal {
  ReplayReport report;
  std::unordered_map<std::uint64_t, RecordApplier::MessageTrace> traces;  // by message number
  std::uint64_t quarantine_disk_bytes = 0;                                // disk space of quarantine files
};

// Requires the journal's lock. Throws JournalError if the journal can't be read.
RecoveredJournal RecoverJournal(FileSystem& files, const JournalSettings& settings, MessageTable& messages,
                                Logger& log);

// What a start read, for the log: "3 records read, 2 messages pending, discarded 5 torn bytes".
std::string RecoveryNote(std::uint64_t records, int pending_messages, std::uint64_t torn_bytes);

// Messages carry their class by its number; gives them the numbers of `new_classes`, or kNoClass. Gives the
// numbers of the messages.
std::vector<std::uint64_t> RenumberClasses(MessageTable& messages,
                                           const std::vector<std::string>& old_classes,
                                           const std::vector<std::string>& new_classes, Logger& log);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_JOURNAL_RECOVERY_H_
