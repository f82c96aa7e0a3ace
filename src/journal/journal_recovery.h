// Recovers a journal when a process opens it. Replays the records into the message table and cleans up the
// folder: segments that the manifest does not list are removed, and bytes that can't be read are copied to
// quarantine files. Called by SegmentJournal at its start, on the thread of the event loop.
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

// The result of RecoverJournal.
struct RecoveredJournal {
  ReplayReport report;
  std::unordered_map<std::uint64_t, RecordApplier::ReplayedMessage> replayed_messages;  // by message number
  std::uint64_t quarantine_disk_bytes = 0;  // disk space of all quarantine files in the folder
};

// Recovers the journal in settings.folder into `messages`. The caller must hold the lock of the journal.
// Reports damage to `log`. Throws JournalError if the journal can't be read.
RecoveredJournal RecoverJournal(FileSystem& files, const JournalSettings& settings, MessageTable& messages,
                                Logger& log);

// Returns a summary of the recovery for the log, such as "3 records read, 2 messages pending, discarded 5
// torn bytes".
std::string RecoverySummary(std::uint64_t records, int pending_messages, std::uint64_t torn_bytes);

// Converts the class numbers of all messages. A message stores its class as an index, so far into
// `old_classes`, and from now on into `new_classes`; a class whose name is not in `new_classes` becomes
// kUnknownClass. Returns the numbers of all messages.
std::vector<std::uint64_t> RenumberClasses(MessageTable& messages,
                                           const std::vector<std::string>& old_classes,
                                           const std::vector<std::string>& new_classes, Logger& log);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_JOURNAL_RECOVERY_H_
