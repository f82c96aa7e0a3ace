// Works on journals as a whole: reads one beside the process that writes it, copies it as it stood at one
// moment, and puts a copy in place.
#ifndef SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_
#define SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_

#include <cstdint>
#include <string>

#include "core/message_table.h"
#include "journal/replay.h"

namespace sagetally {

// As Replay, but begun again while a process drops segments meanwhile.
ReplayReport ReplayLive(FileSystem& files, const std::string& folder, MessageTable& messages);

struct SnapshotResult {
  std::uint64_t segments = 0;
  std::uint64_t bytes = 0;
  Manifest manifest;  // of the copy
};

// Copies the journal in the folder `source` to the folder `destination`, which must not hold one. A process
// may write to the source meanwhile: its segments only grow, and one that is dropped is read on through its
// open file. Throws JournalIoError, JournalMissingError or JournalExistsError.
SnapshotResult WriteSnapshot(FileSystem& files, const std::string& source, const std::string& destination);

struct RestoreOptions {
  bool replace = false;        // a journal in the destination is replaced
  bool exact = false;          // nothing has happened since: the node was stopped before the snapshot
  bool allow_damaged = false;  // take a damaged snapshot, too
};
// Makes the snapshot `source` the journal in `destination`, under an epoch above both. A journal that is
// there counts until the manifest is replaced. Throws JournalError of every kind.
SnapshotResult RestoreSnapshot(FileSystem& files, const std::string& source, const std::string& destination,
                               const RestoreOptions& options);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_
